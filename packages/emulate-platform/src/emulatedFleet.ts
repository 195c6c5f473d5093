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
import type { EmulatedWorker } from "./emulatedWorker.js";
import type { OrderFaults } from "./orderFaults.js";

/** One way to a worker, in milliseconds. */
const WAY_MS = 1;
/** How long a caller waits for an answer, in milliseconds. */
const TIMEOUT_MS = 600;
const UNANSWERED: LeaseReport = { outcome: OrderOutcome.Unknown, clockMs: 0, bornMs: 0, running: [], ended: [] };

/** The way to emulated workers, with its faults. */
export class EmulatedFleet implements WorkerPort {
    readonly workers = new Map<string, EmulatedWorker>();
    readonly faults: OrderFaults = { lateShare: 0, lateMs: 0 };

    constructor(private readonly clock: Clock, private readonly random: () => number) {}

    /** Starts a run. */
    start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome> {
        return this.send(worker, found => found.start(order));
    }

    /** Stops a run. */
    stop(worker: WorkerAddress, task: TaskRef, run: number, fence: number): Promise<OrderOutcome> {
        return this.send(worker, found => found.stop(task, run, fence));
    }

    /** Changes nothing here: emulated runs have no pace. */
    async pace(): Promise<OrderOutcome> {
        await waitFor(this.clock, WAY_MS * 2);
        return OrderOutcome.Accepted;
    }

    /** Extends a lease and lists what runs. */
    async renewLease(worker: WorkerAddress, order: LeaseRenewal): Promise<LeaseReport> {
        await waitFor(this.clock, WAY_MS);
        const found = this.workers.get(worker.id);
        if (found === undefined || found.isCut) {
            await waitFor(this.clock, order.waitMs + TIMEOUT_MS);
            return UNANSWERED;
        }
        const answer = await found.hold(order);
        await waitFor(this.clock, WAY_MS);
        return found.isCut ? UNANSWERED : answer;
    }

    private async send(worker: WorkerAddress, apply: (found: EmulatedWorker) => OrderOutcome): Promise<OrderOutcome> {
        await waitFor(this.clock, WAY_MS);
        const found = this.workers.get(worker.id);
        if (found === undefined || found.isCut) {
            await waitFor(this.clock, TIMEOUT_MS);
            return OrderOutcome.Unknown;
        }
        if (this.random() < this.faults.lateShare) {
            this.clock.schedule(TIMEOUT_MS + this.random() * this.faults.lateMs, () => void apply(found));
            await waitFor(this.clock, TIMEOUT_MS);
            return OrderOutcome.Unknown;
        }
        const outcome = apply(found);
        await waitFor(this.clock, WAY_MS);
        return outcome;
    }
}
