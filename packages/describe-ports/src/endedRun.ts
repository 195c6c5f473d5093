import type { RunEnd, TaskRef } from "@sardinestage/describe-work";

/** A run that has ended on a worker, and whose end the coordinator hasn't acknowledged yet. */
export interface EndedRun {
    /** Sequence number of the end, counted by each worker instance from 1. */
    readonly number: number;
    readonly task: TaskRef;
    readonly run: number;
    readonly end: RunEnd;
    /** Last checkpoint that the run saved; empty for none. */
    readonly checkpoint: string;
}
