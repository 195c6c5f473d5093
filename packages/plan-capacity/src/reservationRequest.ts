import type { Resources } from "./resources.js";

/** Equal tasks that wait for room. */
export interface ReservationRequest {
    readonly need: Resources;
    /** Expected duration of a task, in milliseconds; infinite for a long-running one. */
    readonly durationMs: number;
    /** Number of tasks. */
    readonly count: number;
    /** The most of the tasks on one worker; 0 without a limit. */
    readonly maxPerWorker: number;
    /** Whether the tasks start together or not at all. */
    readonly isGang: boolean;
}
