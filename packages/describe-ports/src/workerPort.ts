import type { TaskRef } from "@sardinestage/describe-work";
import type { LeaseRenewal } from "./leaseRenewal.js";
import type { LeaseReport } from "./leaseReport.js";
import type { OrderOutcome } from "./orderOutcome.js";
import type { StartOrder } from "./startOrder.js";
import type { WorkerAddress } from "./workerAddress.js";

/**
 * Orders to workers. The returned promises never reject; a failure is an outcome. Callers must expect the delays and
 * lost answers of a remote call, whatever the implementation.
 */
export interface WorkerPort {
    start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome>;
    stop(worker: WorkerAddress, task: TaskRef, run: number, fence: number): Promise<OrderOutcome>;
    /** Renews the worker's lease, acknowledges ended runs, and returns the worker's active and ended runs. */
    renewLease(worker: WorkerAddress, order: LeaseRenewal): Promise<LeaseReport>;
    /** Sets the pace of a run: the share of its full speed at which it may work, in percent. */
    pace(worker: WorkerAddress, task: TaskRef, run: number, percent: number, fence: number): Promise<OrderOutcome>;
}
