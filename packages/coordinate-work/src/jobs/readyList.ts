import type { ReadyStep } from "./readyStep.js";

/** The steps that have tasks to start, and when the next occurrence is due. */
export interface ReadyList {
    /** In the order in which their jobs were added. */
    readonly steps: readonly Pick<ReadyStep, "step" | "waiting">[];
    /** When the next occurrence of any job is due, in Unix milliseconds; undefined if there is none. */
    readonly nextDueMs: number | undefined;
}
