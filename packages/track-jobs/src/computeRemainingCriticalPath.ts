import type { StepSpec } from "@sardinestage/describe-work";
import { computeCriticalPath } from "./computeCriticalPath.js";
import type { Occurrence } from "./occurrence.js";
import { TaskPhase } from "./taskPhase.js";

/**
 * Computes the critical path of the work that an occurrence has left, assuming enough free capacity for all tasks.
 *
 * @param occurrence The occurrence.
 * @param estimateTask Returns the estimated duration of one task of a step, in milliseconds.
 * @returns The remaining duration, in milliseconds.
 */
export function computeRemainingCriticalPath(occurrence: Occurrence, estimateTask: (step: StepSpec) => number): number {
    return computeCriticalPath(occurrence, (spec, number) => {
        const step = occurrence.findKnownStep(number);
        if (step === undefined) {
            return occurrence.isStepDone(number) ? 0 : estimateTask(spec);
        }
        const estimate = estimateTask(spec);
        if (step.isWaiting) {
            return estimate;
        }
        let longestTask = 0;
        for (const task of step.listKnown()) {
            if (task.phase !== TaskPhase.Done) {
                longestTask = Math.max(longestTask, estimate * (1 - task.percent / 100));
            }
        }
        return longestTask;
    });
}
