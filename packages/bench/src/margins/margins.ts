import type { AnswerMargin } from "./answerMargin.js";
import type { IdleMargin } from "./idleMargin.js";
import type { LineFault } from "./lineFault.js";

/** The margins that a day's log shows. */
export interface Margins {
    readonly idle: readonly IdleMargin[];
    readonly answers: readonly AnswerMargin[];
    /** Lines that were read as events. */
    readonly lines: number;
    /** Lines that weren't counted, by the reason. */
    readonly faults: ReadonlyMap<LineFault, number>;
    /** Lines that the processes dropped since they logged too much. */
    readonly droppedLines: number;
}
