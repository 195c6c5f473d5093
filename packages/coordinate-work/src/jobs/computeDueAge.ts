import type { StepRun } from "@sardinestage/track-jobs";

/**
 * Computes how long ago a step's turn came, in milliseconds, also where earlier coordinators have had it for a part of
 * that time. 0 for a step that depends on others, since the time at which these were done isn't recorded.
 */
export function computeDueAge({ spec, occurrence }: StepRun, wallNowMs: number): number {
    return spec.dependsOn.length > 0 ? 0 : Math.max(0, wallNowMs - occurrence.dueMs);
}
