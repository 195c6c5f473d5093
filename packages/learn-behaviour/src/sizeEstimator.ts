import type { Resources, TaskSpec, TaskUsage } from "@sardinestage/types";
import { RecentSamples } from "./recentSamples.js";

const KEPT_SAMPLES = 64;
/** Below this, the declared size is all there is. */
const NEEDED_SAMPLES = 5;

interface ClassSamples {
    readonly cpuMillis: RecentSamples;
    readonly memoryMb: RecentSamples;
}

/** Learns what tasks of a class really use; declared sizes are only where it starts from. */
export class SizeEstimator {
    private readonly classes = new Map<string, ClassSamples>();

    /** @param quantile Quantile of the measured use that is expected. */
    constructor(private readonly quantile: number) {}

    /** Takes a measurement. */
    learnUsage(taskClass: string, usage: TaskUsage): void {
        const samples = this.classes.get(taskClass)
            ?? { cpuMillis: new RecentSamples(KEPT_SAMPLES), memoryMb: new RecentSamples(KEPT_SAMPLES) };
        samples.cpuMillis.add(usage.cpuMillis);
        samples.memoryMb.add(usage.memoryMb);
        this.classes.set(taskClass, samples);
    }

    /** What a task is expected to take; slots and accelerators are as declared. */
    estimateSize(spec: TaskSpec): Resources {
        const samples = this.classes.get(spec.taskClass);
        if (samples === undefined || samples.cpuMillis.getCount() < NEEDED_SAMPLES) {
            return spec.size;
        }
        return {
            ...spec.size,
            cpuMillis: samples.cpuMillis.computeQuantile(this.quantile) ?? spec.size.cpuMillis,
            memoryMb: samples.memoryMb.computeQuantile(this.quantile) ?? spec.size.memoryMb,
        };
    }
}
