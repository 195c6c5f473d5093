import type { Occurrence } from "./occurrence.js";
import type { StepRun } from "./stepRun.js";

/**
 * Computes the longest chain of steps of an occurrence, as if there were room for everything.
 *
 * @param occurrence The occurrence.
 * @param estimateStep What a step adds to a chain, in milliseconds.
 * @returns Milliseconds.
 */
export function computeChain(occurrence: Occurrence, estimateStep: (step: StepRun) => number): number {
    const chains: number[] = [];
    for (const step of occurrence.steps) {
        const before = Math.max(0, ...step.spec.dependsOn.map(earlier => chains[earlier]));
        chains.push(before + estimateStep(step));
    }
    return Math.max(0, ...chains);
}
