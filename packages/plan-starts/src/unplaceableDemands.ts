import { isDeferrable } from "./isDeferrable.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";

/** The smallest size that found no room. */
interface Size {
    readonly cpuMillis: number;
    readonly memoryMb: number;
}

/**
 * Remembers within a round what found no room, so that the like of it isn't tried again on every worker. Answers
 * floods, in which hundreds of steps wait for the same thing.
 */
export class UnplaceableDemands {
    private readonly sizes = new Map<string, Size>();

    constructor(private readonly rules: StartRules) {}

    /** Notes a demand that found no room; steps with conditions of their own say nothing about others. */
    add(demand: StepDemand): void {
        const { spec } = demand.step;
        const key = this.createKey(demand);
        const known = this.sizes.get(key);
        if (isUnconstrained(demand) && (known === undefined || spec.cpuMillis <= known.cpuMillis)) {
            this.sizes.set(key, { cpuMillis: spec.cpuMillis, memoryMb: spec.memoryMb });
        }
    }

    /** Whether a demand of the same kind that needs no more has found no room. */
    has(demand: StepDemand): boolean {
        const { spec } = demand.step;
        const known = this.sizes.get(this.createKey(demand));
        return known !== undefined && isUnconstrained(demand)
            && spec.cpuMillis >= known.cpuMillis && spec.memoryMb >= known.memoryMb;
    }

    /** What rather waits finds less room than its like that has waited long enough. */
    private createKey(demand: StepDemand): string {
        const { spec, occurrence } = demand.step;
        const { service } = occurrence.job.queue;
        const mayWait = isDeferrable(demand, this.rules);
        return `${service}|${spec.image}|${spec.fillsLeftover}|${mayWait}|${spec.accelerators}`;
    }
}

function isUnconstrained(demand: StepDemand): boolean {
    const { spec, occurrence } = demand.step;
    return !spec.gang && spec.maxTasksPerWorker === 0 && spec.requiredLabel === ""
        && occurrence.job.queue.advice === undefined;
}
