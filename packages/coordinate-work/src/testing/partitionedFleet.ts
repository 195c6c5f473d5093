import type {
    Clock,
    LeaseRenewal,
    LeaseReport,
    StartOrder,
    WorkerAddress,
    WorkerPort,
} from "@sardinestage/describe-ports";
import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import type { TaskRef } from "@sardinestage/describe-work";

/** Time after which a caller gives up on an answer, beyond what the call itself may wait, in milliseconds. */
const CALLER_TIMEOUT_MS = 600;

/** The workers as one coordinator reaches them: calls to those that it is cut off from get no answer. */
export class PartitionedFleet implements WorkerPort {
    /**
     * @param workers Receives the calls to the other workers.
     * @param clock The test's clock.
     * @param isCutOff Returns whether the coordinator is cut off from a worker now.
     */
    constructor(
        private readonly workers: WorkerPort,
        private readonly clock: Clock,
        private readonly isCutOff: (workerId: string) => boolean,
    ) {}

    /** Sends the order to start a run. */
    start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome> {
        return this.isCutOff(worker.id) ? this.waitForTimeout() : this.workers.start(worker, order);
    }

    /** Sends the order to stop a run. */
    stop(worker: WorkerAddress, task: TaskRef, run: number, fence: number): Promise<OrderOutcome> {
        return this.isCutOff(worker.id) ? this.waitForTimeout() : this.workers.stop(worker, task, run, fence);
    }

    /** Sends the order to change a run's pace, in percent of its full speed. */
    pace(...order: Parameters<WorkerPort["pace"]>): Promise<OrderOutcome> {
        return this.isCutOff(order[0].id) ? this.waitForTimeout() : this.workers.pace(...order);
    }

    /** Sends the renewal of a worker's lease. */
    async renewLease(worker: WorkerAddress, order: LeaseRenewal): Promise<LeaseReport> {
        if (this.isCutOff(worker.id)) {
            const outcome = await this.waitForTimeout(order.waitMs);
            return { outcome, clockMs: 0, bornMs: 0, running: [], ended: [] };
        }
        return this.workers.renewLease(worker, order);
    }

    private async waitForTimeout(waitMs = 0): Promise<OrderOutcome> {
        await waitFor(this.clock, waitMs + CALLER_TIMEOUT_MS);
        return OrderOutcome.Unknown;
    }
}
