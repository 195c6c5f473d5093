import type {
    Clock,
    LeaseRenewal,
    LeaseReport,
    OrderOutcome,
    StartOrder,
    WorkerAddress,
    WorkerPort,
} from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import type { TaskRef } from "@sardinestage/describe-work";

/**
 * Emulates calls to workers from a single-threaded process. Each call and each answer takes a fixed time of the thread
 * and waits in one first-in-first-out queue, whatever its urgency.
 */
export class SingleThreadWorkerPort implements WorkerPort {
    private threadFreeAtMs = 0;

    /**
     * @param workers Receives the calls.
     * @param clock The test's clock.
     * @param callMs Thread time that a call or an answer takes, in milliseconds.
     * @param beforeStartSent Called before each start is sent; may advance the clock by the time that sending takes.
     */
    constructor(
        private readonly workers: WorkerPort,
        private readonly clock: Clock,
        private readonly callMs: number,
        private readonly beforeStartSent: () => void = () => undefined,
    ) {}

    /** Forwards the order to start a run. */
    start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome> {
        this.beforeStartSent();
        return this.forward(() => this.workers.start(worker, order));
    }

    /** Forwards the order to stop a run. */
    stop(worker: WorkerAddress, task: TaskRef, run: number, fence: number): Promise<OrderOutcome> {
        return this.forward(() => this.workers.stop(worker, task, run, fence));
    }

    /** Forwards the order to change a run's pace, in percent of its full speed. */
    pace(
        worker: WorkerAddress,
        task: TaskRef,
        run: number,
        percent: number,
        fence: number,
    ): Promise<OrderOutcome> {
        return this.forward(() => this.workers.pace(worker, task, run, percent, fence));
    }

    /** Forwards the renewal of a worker's lease. */
    renewLease(worker: WorkerAddress, order: LeaseRenewal): Promise<LeaseReport> {
        return this.forward(() => this.workers.renewLease(worker, order));
    }

    private async forward<T>(call: () => Promise<T>): Promise<T> {
        await this.waitForThread();
        const answer = await call();
        await this.waitForThread();
        return answer;
    }

    private waitForThread(): Promise<void> {
        const nowMs = this.clock.getNow();
        this.threadFreeAtMs = Math.max(nowMs, this.threadFreeAtMs) + this.callMs;
        return waitFor(this.clock, this.threadFreeAtMs - nowMs);
    }
}
