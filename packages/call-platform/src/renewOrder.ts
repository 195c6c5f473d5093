import type { AttemptRef } from "./attemptRef.js";

/** Renews a worker lease and, if `taskTtlMs` is given, the leases of all tasks on the worker. */
export interface RenewOrder {
    /** New time to live of the worker lease, in milliseconds. */
    readonly ttlMs: number;
    /** New time to live of the task leases, in milliseconds; absent to let the task leases run towards their expiry. */
    readonly taskTtlMs?: number;
    /** Ended attempts whose result is recorded in the log, so that the worker may forget them. */
    readonly acknowledged: readonly AttemptRef[];
}
