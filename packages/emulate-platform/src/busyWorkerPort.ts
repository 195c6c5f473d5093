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
 * The way to workers from a process with one thread: each call, and each answer, takes its time, and all wait in one
 * line. What is asked for first goes first, however urgent what comes later is.
 */
export class BusyWorkerPort implements WorkerPort {
    private freeAtMs = 0;

    /**
     * @param workers Where the calls go.
     * @param clock Of the test.
     * @param callMs What a call or an answer takes of the thread, in milliseconds.
     * @param send Called as a start is sent: may keep the thread for as long as that takes.
     */
    constructor(
        private readonly workers: WorkerPort,
        private readonly clock: Clock,
        private readonly callMs: number,
        private readonly send: () => void = () => undefined,
    ) {}

    /** Starts a run. */
    start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome> {
        this.send();
        return this.forward(() => this.workers.start(worker, order));
    }

    /** Stops a run. */
    stop(worker: WorkerAddress, task: TaskRef, run: number, fence: number): Promise<OrderOutcome> {
        return this.forward(() => this.workers.stop(worker, task, run, fence));
    }

    /** Lets a run work at a share of its speed. */
    pace(
        worker: WorkerAddress,
        task: TaskRef,
        run: number,
        percent: number,
        fence: number,
    ): Promise<OrderOutcome> {
        return this.forward(() => this.workers.pace(worker, task, run, percent, fence));
    }

    /** Extends a lease and lists what runs. */
    renewLease(worker: WorkerAddress, order: LeaseRenewal): Promise<LeaseReport> {
        return this.forward(() => this.workers.renewLease(worker, order));
    }

    private async forward<T>(call: () => Promise<T>): Promise<T> {
        await this.waitTurn();
        const answer = await call();
        await this.waitTurn();
        return answer;
    }

    private waitTurn(): Promise<void> {
        const nowMs = this.clock.getNow();
        this.freeAtMs = Math.max(nowMs, this.freeAtMs) + this.callMs;
        return waitFor(this.clock, this.freeAtMs - nowMs);
    }
}
