import type { TaskRef } from "@sardinestage/describe-work";
import type { HoldAnswer } from "./holdAnswer.js";
import type { HoldOrder } from "./holdOrder.js";
import type { OrderOutcome } from "./orderOutcome.js";
import type { StartOrder } from "./startOrder.js";
import type { WorkerAddress } from "./workerAddress.js";

/** Orders to workers. No call rejects; failures are outcomes. The port is called as if it could be remote. */
export interface WorkerPort {
    start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome>;
    stop(worker: WorkerAddress, task: TaskRef, run: number, fence: number): Promise<OrderOutcome>;
    hold(worker: WorkerAddress, order: HoldOrder): Promise<HoldAnswer>;
    /** Lets a run work at a share of its speed, in percent. */
    pace(worker: WorkerAddress, task: TaskRef, run: number, percent: number, fence: number): Promise<OrderOutcome>;
}
