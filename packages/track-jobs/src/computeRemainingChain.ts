import type { StepSpec } from "@sardinestage/describe-work";
import { computeChain } from "./computeChain.js";
import type { Occurrence } from "./occurrence.js";
import { TaskPhase } from "./taskPhase.js";

/**
 * Computes the longest chain of work that an occurrence has left.
 *
 * @param occurrence The occurrence.
 * @param estimateTask The duration of one task of a step, in milliseconds.
 * @returns Milliseconds, as if there were room for everything.
 */
export function computeRemainingChain(occurrence: Occurrence, estimateTask: (step: StepSpec) => number): number {
    return computeChain(occurrence, step => {
        const estimate = estimateTask(step.spec);
        let longestTask = 0;
        for (const task of step.tasks) {
            if (task.phase !== TaskPhase.Done) {
                longestTask = Math.max(longestTask, estimate * (1 - task.percent / 100));
            }
        }
        return longestTask;
    });
}
