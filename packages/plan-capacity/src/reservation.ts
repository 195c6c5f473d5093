import type { Resources } from "./resources.js";

/** Resources of a worker that are kept for a waiting task from a time on. */
export interface Reservation extends Resources {
    /** When the task is expected to start, in milliseconds. */
    readonly fromMs: number;
    /** When the task is expected to end, in milliseconds; infinite for a long-running one. */
    readonly untilMs: number;
}
