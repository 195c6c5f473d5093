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

/** One-way network latency to a worker, in milliseconds. */
const ONE_WAY_MS = 1;
/** Time after which a caller gives up on an answer, in milliseconds. */
const CALLER_TIMEOUT_MS = 600;
const UNANSWERED: LeaseReport = { outcome: OrderOutcome.Unknown, clockMs: 0, bornMs: 0, running: [], ended: [] };

/** Delivers orders to emulated workers over an emulated network with injectable faults. */
export class EmulatedFleet implements WorkerPort {
    readonly workers = new Map<string, EmulatedWorker>();
    readonly faults: OrderFaults = { delayedShare: 0, maxDelayMs: 0 };

    constructor(private readonly clock: Clock, private readonly random: () => number) {}

    /** Sends a worker the order to start a run. */
    start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome> {
        return this.send(worker, found => found.start(order));
    }

    /** Sends a worker the order to stop a run. */
    stop(worker: WorkerAddress, task: TaskRef, run: number, fence: number): Promise<OrderOutcome> {
        return this.send(worker, found => found.stop(task, run, fence));
    }

    /** Accepts every pace and changes nothing: emulated runs have no pace. */
    async pace(): Promise<OrderOutcome> {
        await waitFor(this.clock, ONE_WAY_MS * 2);
        return OrderOutcome.Accepted;
    }

    /** Extends a worker's lease and lists its active and ended runs. */
    async renewLease(worker: WorkerAddress, order: LeaseRenewal): Promise<LeaseReport> {
        await waitFor(this.clock, ONE_WAY_MS);
        const found = this.workers.get(worker.id);
        if (found === undefined || found.isUnreachable) {
            await waitFor(this.clock, order.waitMs + CALLER_TIMEOUT_MS);
            return UNANSWERED;
        }
        const answer = await found.renewLease(order);
        await waitFor(this.clock, ONE_WAY_MS);
        return found.isUnreachable ? UNANSWERED : answer;
    }

    private async send(worker: WorkerAddress, apply: (found: EmulatedWorker) => OrderOutcome): Promise<OrderOutcome> {
        await waitFor(this.clock, ONE_WAY_MS);
        const found = this.workers.get(worker.id);
        if (found === undefined || found.isUnreachable) {
            await waitFor(this.clock, CALLER_TIMEOUT_MS);
            return OrderOutcome.Unknown;
        }
        if (this.random() < this.faults.delayedShare) {
            this.clock.schedule(CALLER_TIMEOUT_MS + this.random() * this.faults.maxDelayMs, () => void apply(found));
            await waitFor(this.clock, CALLER_TIMEOUT_MS);
            return OrderOutcome.Unknown;
        }
        const outcome = apply(found);
        await waitFor(this.clock, ONE_WAY_MS);
        return outcome;
    }
}
