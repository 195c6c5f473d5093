import type { RunEnd, TaskRef } from "@sardinestage/describe-work";

/** A run that has ended and whose end wasn't acknowledged yet. */
export interface EndedRow {
    /** Rises by one with each end in a worker's life, from 1. */
    readonly number: number;
    readonly task: TaskRef;
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
}
