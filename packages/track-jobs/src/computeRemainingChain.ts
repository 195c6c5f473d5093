import type { StepSpec } from "@sardinestage/describe-work";
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
    const chains: number[] = [];
    for (const step of occurrence.steps) {
        const before = Math.max(0, ...step.spec.dependsOn.map(earlier => chains[earlier]));
        let longestTask = 0;
        const estimate = estimateTask(step.spec);
        for (const task of step.tasks) {
            if (task.phase !== TaskPhase.Done) {
                longestTask = Math.max(longestTask, estimate * (1 - task.percent / 100));
            }
        }
        chains.push(before + longestTask);
    }
    return Math.max(0, ...chains);
}
