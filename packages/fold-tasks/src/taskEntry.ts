import type { TaskPhase, TaskSpec } from "@sardinestage/types";

/** State of a task according to the log. */
export interface TaskEntry {
    readonly spec: TaskSpec;
    readonly phase: TaskPhase;
    /** Number of bindings so far. Of several bind records for one generation the first in the log wins. */
    readonly generation: number;
    /** The worker that the task is bound to; absent while it is not bound. */
    readonly worker?: string;
    /** The highest number of an attempt that is known to have ended. */
    readonly lastAttempt: number;
    readonly checkpoint?: string;
    /** Workers on which the task itself failed, one entry for each failed attempt. */
    readonly failedOn: readonly string[];
    readonly cancelRequested: boolean;
    /** Why the task was parked, failed or cancelled. */
    readonly reason?: string;
    readonly submittedAtMs: number;
    /** When the task's newest record was appended. */
    readonly changedAtMs: number;
    /** Offset of the task's newest record in the log. */
    readonly lastOffset: number;
}
