import type { Occurrence } from "./occurrence.js";
import type { StepRun } from "./stepRun.js";

/**
 * Computes the critical path through the steps of an occurrence, assuming enough free capacity for all tasks.
 *
 * @param occurrence The occurrence.
 * @param estimateStep Returns the estimated duration of a step, in milliseconds.
 * @returns The duration of the critical path, in milliseconds.
 */
export function computeCriticalPath(occurrence: Occurrence, estimateStep: (step: StepRun) => number): number {
    const pathEnds: number[] = [];
    for (const step of occurrence.steps) {
        const readyAt = Math.max(0, ...step.spec.dependsOn.map(earlier => pathEnds[earlier]));
        pathEnds.push(readyAt + estimateStep(step));
    }
    return Math.max(0, ...pathEnds);
}
