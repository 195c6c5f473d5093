import type { StepSpec } from "@sardinestage/describe-work";
import type { Occurrence } from "./occurrence.js";

/**
 * Computes the critical path through the steps of an occurrence, assuming enough free capacity for all tasks.
 *
 * @param occurrence The occurrence.
 * @param estimateStep Returns the estimated duration of the step of this number, in milliseconds.
 * @returns The duration of the critical path, in milliseconds.
 */
export function computeCriticalPath(
    occurrence: Occurrence,
    estimateStep: (spec: StepSpec, number: number) => number,
): number {
    const pathEnds: number[] = [];
    let longestMs = 0;
    occurrence.job.spec.steps.forEach((spec, number) => {
        let readyAtMs = 0;
        for (const earlier of spec.dependsOn) {
            readyAtMs = Math.max(readyAtMs, pathEnds[earlier]);
        }
        const endMs = readyAtMs + estimateStep(spec, number);
        pathEnds.push(endMs);
        longestMs = Math.max(longestMs, endMs);
    });
    return longestMs;
}
