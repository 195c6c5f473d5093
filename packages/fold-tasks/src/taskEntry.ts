import type { TaskPhase, TaskSpec } from "@sardinestage/types";

/** A task as the log's order has it. */
export interface TaskEntry {
    readonly spec: TaskSpec;
    readonly phase: TaskPhase;
    /** Counts the bindings; the first record for a generation wins. */
    readonly generation: number;
    /** Set while bound. */
    readonly worker?: string;
    /** The highest attempt that is known to have ended. */
    readonly lastAttempt: number;
    readonly checkpoint?: string;
    /** Workers on which an attempt failed by itself, one entry a failure. */
    readonly failedOn: readonly string[];
    readonly cancelRequested: boolean;
    /** Why it was parked, failed or cancelled. */
    readonly reason?: string;
    readonly submittedAtMs: number;
    /** When its newest record was appended. */
    readonly changedAtMs: number;
    readonly lastOffset: number;
}
