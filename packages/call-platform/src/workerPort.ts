import type { StageError } from "@sardinestage/errors";
import type { Result } from "ts-results";
import type { AttemptRef } from "./attemptRef.js";
import type { RenewOrder } from "./renewOrder.js";
import type { StartOrder } from "./startOrder.js";
import type { WorkerReport } from "./workerReport.js";

/**
 * One worker. Every order carries the token of the worker lease; a worker refuses a token that is stale or lapsed.
 * All orders are idempotent, and a failed call may have had its effect.
 */
export interface WorkerPort {
    /** Takes the lease when nobody holds it; answers with its token, which rises with each holder. */
    acquireLease(holder: string, ttlMs: number): Promise<Result<number, StageError>>;
    /** Renews the lease and reads what runs. */
    renewLease(token: number, order: RenewOrder): Promise<Result<WorkerReport, StageError>>;
    /** Gives the lease back. */
    releaseLease(token: number): Promise<Result<void, StageError>>;
    /** Starts an attempt. */
    startTask(token: number, order: StartOrder): Promise<Result<void, StageError>>;
    /** Takes a checkpoint and answers with its handle. */
    checkpointTask(token: number, attempt: AttemptRef): Promise<Result<string, StageError>>;
    /** Takes away a share of an attempt's processors, 0 to 1. */
    throttleTask(token: number, attempt: AttemptRef, share: number): Promise<Result<void, StageError>>;
    /** Stops an attempt; when it succeeds, the attempt doesn't run. */
    stopTask(token: number, attempt: AttemptRef): Promise<Result<void, StageError>>;
}
