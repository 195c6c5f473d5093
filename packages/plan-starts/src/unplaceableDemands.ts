import { isDeferrable } from "./isDeferrable.js";
import { isInterrupted } from "./isInterrupted.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";

/** The smallest size that didn't fit on any worker. */
interface Size {
    readonly cpuMillis: number;
    readonly memoryMb: number;
}

/**
 * Remembers, within one planning round, the demands that didn't fit on any worker, so that equal or larger ones aren't
 * tried again on every worker. This keeps a round short when hundreds of equal steps wait.
 */
export class UnplaceableDemands {
    private readonly sizes = new Map<string, Size>();

    constructor(private readonly rules: StartRules) {}

    /** Records a demand that didn't fit; constrained steps are ignored, as other demands may still fit. */
    add(demand: StepDemand): void {
        const { spec } = demand.step;
        const key = this.createKey(demand);
        const known = this.sizes.get(key);
        if (isUnconstrained(demand) && (known === undefined || spec.cpuMillis <= known.cpuMillis)) {
            this.sizes.set(key, { cpuMillis: spec.cpuMillis, memoryMb: spec.memoryMb });
        }
    }

    /** Whether a demand of the same kind and of no larger size didn't fit. */
    has(demand: StepDemand): boolean {
        const { spec } = demand.step;
        const known = this.sizes.get(this.createKey(demand));
        return known !== undefined && isUnconstrained(demand)
            && spec.cpuMillis >= known.cpuMillis && spec.memoryMb >= known.memoryMb;
    }

    /**
     * Deferrable demands get a key of their own: they accept fewer workers than those that have waited long enough. So
     * do interrupted ones, which may start on reserved workers too.
     */
    private createKey(demand: StepDemand): string {
        const { spec, occurrence } = demand.step;
        const { service } = occurrence.job.queue;
        const canWait = isDeferrable(demand, this.rules);
        return `${service}|${spec.image}|${spec.isBestEffort}|${canWait}|${isInterrupted(demand)}|${spec.accelerators}`;
    }
}

function isUnconstrained(demand: StepDemand): boolean {
    const { spec, occurrence } = demand.step;
    return !spec.gang && spec.maxTasksPerWorker === 0 && spec.requiredLabel === ""
        && occurrence.job.queue.advice === undefined;
}
