import type { Topic } from "@sardinestage/describe-ports";

/** Faults injected into an emulated store. */
export interface StoreFaults {
    /** Whether the store is unavailable: it applies no append and answers no call. */
    isDown: boolean;
    /** Topics for which the store carries out no call and lets each run into its timeout, while it serves the others. */
    readonly silentTopics: Set<Topic>;
    /** Topics for which the store refuses each call at once, while it serves the others. */
    readonly refusedTopics: Set<Topic>;
    /** Share of the appends that are applied but not answered, 0 to 1. */
    lostAnswerShare: number;
    /** Delay with which unanswered appends are applied, in milliseconds; 0 to apply them at once. */
    applyDelayMs: number;
    /** Response time of the store, in milliseconds. */
    answerMs: number;
}
