import type { AppendOutcome } from "./appendOutcome.js";

/** The store's answer to an append. */
export interface AppendAnswer {
    readonly outcome: AppendOutcome;
    /** Offset of the first appended record; set only if `outcome` is `Appended`. */
    readonly offset: number;
    /** Offset after the topic's last record; set only if `outcome` is `Appended` or `ConditionFailed`. */
    readonly end: number;
}
