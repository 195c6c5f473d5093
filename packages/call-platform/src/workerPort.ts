import type { StageError } from "@sardinestage/errors";
import type { Result } from "ts-results";
import type { AttemptRef } from "./attemptRef.js";
import type { RenewOrder } from "./renewOrder.js";
import type { StartOrder } from "./startOrder.js";
import type { WorkerReport } from "./workerReport.js";

/**
 * Control interface of one worker. Every order carries the token of the worker lease, and the worker refuses a token
 * that is outdated or whose lease has expired. All orders are idempotent. A failed call may still have had its effect.
 */
export interface WorkerPort {
    /** Acquires the lease if nobody holds it; returns its token, which is higher for each new holder. */
    acquireLease(holder: string, ttlMs: number): Promise<Result<number, StageError>>;
    /** Renews the lease and returns the worker's attempts and their resource use. */
    renewLease(token: number, order: RenewOrder): Promise<Result<WorkerReport, StageError>>;
    /** Releases the lease. */
    releaseLease(token: number): Promise<Result<void, StageError>>;
    /** Starts an attempt. */
    startTask(token: number, order: StartOrder): Promise<Result<void, StageError>>;
    /** Takes a checkpoint of an attempt and returns the checkpoint's handle. */
    checkpointTask(token: number, attempt: AttemptRef): Promise<Result<string, StageError>>;
    /** Withholds a share of an attempt's processor time, 0 to 1. */
    throttleTask(token: number, attempt: AttemptRef, share: number): Promise<Result<void, StageError>>;
    /** Stops an attempt. After a successful call the attempt certainly doesn't run. */
    stopTask(token: number, attempt: AttemptRef): Promise<Result<void, StageError>>;
}
