import type { AppendOutcome } from "./appendOutcome.js";

/** The store's answer to an append. */
export interface AppendAnswer {
    readonly outcome: AppendOutcome;
    /** Offset of the first record; only when appended. */
    readonly offset: number;
    /** Where the topic ends; when appended or when a condition failed. */
    readonly end: number;
}
