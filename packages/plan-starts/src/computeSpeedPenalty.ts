import type { StepSpec } from "@sardinestage/describe-work";
import { COLD_SLOWNESS } from "./coldSlowness.js";
import type { UnevenWorker } from "./unevenWorker.js";

/**
 * Weight of the logarithm of a worker's slowness. A worker that is 1.5 times slower scores lower by 0.8, which exceeds the
 * largest difference that reserved processor makes (0.6).
 */
const SLOWNESS_PENALTY = 2;
/** A cold worker scores lower than any other that is less than 2.7 times slower. */
const COLD_PENALTY = 2;
/** Below the penalty of reserved workers: tasks with little slack don't take what other tasks wait for. */
const MAX_PENALTY = 4;

/**
 * Computes by how much the score of a slow or cold worker is lowered for a task with little slack.
 *
 * Best-effort tasks share the processor that others leave unused, and always find room. A strict preference would crowd
 * them on few workers, so for them a worker counts as if its speed were that much less unused processor.
 */
export function computeSpeedPenalty({ slowness, isCold }: UnevenWorker, { isBestEffort }: StepSpec): number {
    if (isBestEffort) {
        return 1 - 1 / Math.max(1, slowness, isCold ? COLD_SLOWNESS : 1);
    }
    const penalty = SLOWNESS_PENALTY * Math.log(Math.max(1, slowness)) + (isCold ? COLD_PENALTY : 0);
    return Math.min(MAX_PENALTY, penalty);
}
