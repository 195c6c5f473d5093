import type { AttemptRef } from "./attemptRef.js";

/** Extends a worker lease and, where wanted, the leases of all tasks on that worker. */
export interface RenewOrder {
    readonly ttlMs: number;
    /** Absent: the task leases run on. */
    readonly taskTtlMs?: number;
    /** Ended attempts whose result stands in the log and that the worker may forget. */
    readonly acknowledged: readonly AttemptRef[];
}
