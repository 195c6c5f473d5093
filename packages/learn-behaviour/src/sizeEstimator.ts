import type { Resources, TaskSpec, TaskUsage } from "@sardinestage/types";
import { RecentSamples } from "./recentSamples.js";

const MAX_SAMPLES = 64;
/** With fewer samples, the declared size is used. */
const MIN_SAMPLES = 5;

interface ClassSamples {
    readonly cpuMillis: RecentSamples;
    readonly memoryMb: RecentSamples;
}

/** Estimates the size of tasks from the measured usage of their class, starting from the declared size. */
export class SizeEstimator {
    private readonly classes = new Map<string, ClassSamples>();

    /** @param quantile Quantile of the measured usage that is taken as the size. */
    constructor(private readonly quantile: number) {}

    /** Adds a usage measurement of a task. */
    learnUsage(taskClass: string, usage: TaskUsage): void {
        const samples = this.classes.get(taskClass)
            ?? { cpuMillis: new RecentSamples(MAX_SAMPLES), memoryMb: new RecentSamples(MAX_SAMPLES) };
        samples.cpuMillis.add(usage.cpuMillis);
        samples.memoryMb.add(usage.memoryMb);
        this.classes.set(taskClass, samples);
    }

    /** Estimates the resources that a task needs; slots and accelerators are as declared. */
    estimateSize(spec: TaskSpec): Resources {
        const samples = this.classes.get(spec.taskClass);
        if (samples === undefined || samples.cpuMillis.getCount() < MIN_SAMPLES) {
            return spec.size;
        }
        return {
            ...spec.size,
            cpuMillis: samples.cpuMillis.computeQuantile(this.quantile) ?? spec.size.cpuMillis,
            memoryMb: samples.memoryMb.computeQuantile(this.quantile) ?? spec.size.memoryMb,
        };
    }
}
