import { listConditions } from "./listConditions.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import type { WaitReason } from "./waitReason.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Counts the workers that can't get a task of a demand now, by the first condition that they don't meet. */
export function countRuledOut(
    demand: StepDemand,
    workers: readonly WorkerCapacity[],
    rules: Pick<StartRules, "maxBestEffortWaitMs" | "isAdvised" | "describePlacement" | "reservations">,
): ReadonlyMap<WaitReason, number> {
    const conditions = listConditions(demand, rules);
    const counts = new Map<WaitReason, number>();
    for (const worker of workers) {
        const unmet = conditions.find(([, isMet]) => !isMet(worker));
        if (unmet !== undefined) {
            counts.set(unmet[0], (counts.get(unmet[0]) ?? 0) + 1);
        }
    }
    return counts;
}
