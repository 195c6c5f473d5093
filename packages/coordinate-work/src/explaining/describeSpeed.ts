import type { StartRules, StepDemand } from "@sardinestage/plan-starts";
import { hasLittleSlack } from "@sardinestage/plan-starts";

/**
 * Describes in words what a worker's speed has to do with its choice; nothing if the speed of workers doesn't matter now.
 *
 * @param workerId The worker.
 * @param demand The demand for which it was chosen.
 * @param rules The rules of the plan.
 */
export function describeSpeed(workerId: string, demand: StepDemand, rules: StartRules): readonly string[] {
    const { speeds } = rules;
    const uneven = speeds?.uneven.get(workerId);
    const prefersFast = hasLittleSlack(demand, rules);
    if (uneven === undefined) {
        return prefersFast ? ["neither slow nor cold, as the job has little slack"] : [];
    }
    const cause = prefersFast ? "as no better worker has room" : "which the job's slack allows";
    const reasons: readonly (string | false)[] = [
        uneven.slowness > 1
        && `recent tasks took ${uneven.slowness.toFixed(1)} times as long as expected there, ${cause}`,
        uneven.isCold && `still slow after its start, ${cause}`,
    ];
    return reasons.filter(reason => reason !== false);
}
