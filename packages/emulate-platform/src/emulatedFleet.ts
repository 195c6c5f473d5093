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
import type { CallDelays } from "./callDelays.js";
import { createOrderFaults } from "./createOrderFaults.js";
import type { EmulatedWorker } from "./emulatedWorker.js";
import { LateCallReach } from "./lateCallReach.js";
import type { OrderFaults } from "./orderFaults.js";

/** One-way network latency to a worker, in milliseconds. */
const ONE_WAY_MS = 1;
/** A life that was first asked to renew its lease this long ago is known to whoever asks, in milliseconds. */
const KNOWN_LIFE_MS = 2000;
/** Time after which a caller gives up on an answer, in milliseconds. */
const CALLER_TIMEOUT_MS = 600;

/** A call to a worker. */
interface WorkerCall<T> {
    readonly delays: CallDelays;
    /** Share of these calls that are applied late. */
    readonly lateShare: number;
    readonly timeoutMs: number;
    readonly apply: (found: EmulatedWorker) => T | Promise<T>;
    /** Creates what the caller gets if the worker didn't answer with what was asked for. */
    readonly createFailure: (outcome: OrderOutcome) => T;
}

/**
 * Delivers orders to emulated workers over an emulated network with injectable faults. Each call has a connection of its
 * own, which a worker's crash breaks.
 */
export class EmulatedFleet implements WorkerPort {
    readonly workers = new Map<string, EmulatedWorker>();
    readonly faults: OrderFaults = createOrderFaults();

    constructor(private readonly clock: Clock, private readonly random: () => number) {}

    /** Sends a worker the order to start a run. */
    start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome> {
        return this.sendOrder(worker, this.faults.startDelays, found => found.start(order));
    }

    /** Sends a worker the order to stop a run. */
    stop(worker: WorkerAddress, task: TaskRef, run: number, fence: number): Promise<OrderOutcome> {
        return this.sendOrder(worker, this.faults.stopDelays, found => found.stop(task, run, fence));
    }

    /** Accepts every pace and changes nothing: emulated runs have no pace. */
    async pace(): Promise<OrderOutcome> {
        await waitFor(this.clock, ONE_WAY_MS * 2);
        return OrderOutcome.Accepted;
    }

    /** Extends a worker's lease and lists its active and ended runs. */
    renewLease(worker: WorkerAddress, order: LeaseRenewal): Promise<LeaseReport> {
        return this.send(worker, {
            delays: this.faults.renewalDelays,
            lateShare: this.faults.delayedRenewalShare,
            timeoutMs: order.waitMs + CALLER_TIMEOUT_MS,
            apply: found => found.renewLease(order),
            createFailure: outcome => ({ outcome, clockMs: 0, bornMs: 0, running: [], ended: [] }),
        });
    }

    private sendOrder(
        worker: WorkerAddress,
        delays: CallDelays,
        apply: (found: EmulatedWorker) => OrderOutcome,
    ): Promise<OrderOutcome> {
        const lateShare = this.faults.delayedShare;
        return this.send(worker, {
            delays,
            lateShare,
            timeoutMs: CALLER_TIMEOUT_MS,
            apply,
            createFailure: outcome => outcome,
        });
    }

    private async send<T>(worker: WorkerAddress, call: WorkerCall<T>): Promise<T> {
        const { faults, clock } = this;
        const untilMs = clock.getNow() + call.timeoutMs;
        const deliveryMs = ONE_WAY_MS + this.pickDelay(call.delays.maxDeliveryMs);
        if (this.isPicked(call.lateShare) || deliveryMs >= call.timeoutMs) {
            const lateMs = faults.minDelayMs + this.random() * (faults.maxDelayMs - faults.minDelayMs);
            this.applyLate(worker.id, call, Math.max(deliveryMs, call.timeoutMs + lateMs));
            return this.waitForTimeout(call, untilMs);
        }
        await waitFor(clock, deliveryMs);
        const found = this.workers.get(worker.id);
        if (found === undefined || found.isUnreachable) {
            return this.waitForTimeout(call, untilMs);
        }
        const isUnhealthy = this.isPicked(faults.unhealthyShare);
        const answer = isUnhealthy ? call.createFailure(OrderOutcome.Unhealthy) : await call.apply(found);
        if (found.isCrashed && !found.isUnreachable) {
            await waitFor(clock, ONE_WAY_MS);
            return call.createFailure(OrderOutcome.Unknown);
        }
        const answerMs = ONE_WAY_MS + this.pickDelay(call.delays.maxAnswerMs);
        if (this.isPicked(faults.lostAnswerShare) || clock.getNow() + answerMs > untilMs) {
            return this.waitForTimeout(call, untilMs);
        }
        await waitFor(clock, answerMs);
        return found.isUnreachable ? this.waitForTimeout(call, untilMs) : answer;
    }

    /** Has a call applied that gets no answer: by the life that it was sent to, or by the one that runs then. */
    private applyLate<T>(id: string, call: WorkerCall<T>, delayMs: number): void {
        const life = this.workers.get(id);
        this.clock.schedule(delayMs, () => {
            const found = this.workers.get(id);
            if (found !== undefined && (found === life || this.isReachedLate(found))) {
                found.isServedLate = true;
                void call.apply(found);
                found.isServedLate = false;
            }
        });
    }

    /** Whether a worker applies a call that was sent to its former life. */
    private isReachedLate(nextLife: EmulatedWorker): boolean {
        const { lateCallReach } = this.faults;
        const renewedForMs = this.clock.getNow() - (nextLife.firstRenewedAtMs ?? Infinity);
        return lateCallReach === LateCallReach.AnyLife
            || (lateCallReach === LateCallReach.RenewedLife && renewedForMs >= KNOWN_LIFE_MS);
    }

    private async waitForTimeout<T>(call: WorkerCall<T>, untilMs: number): Promise<T> {
        await waitFor(this.clock, untilMs - this.clock.getNow());
        return call.createFailure(OrderOutcome.Unknown);
    }

    private isPicked(share: number): boolean {
        return share > 0 && this.random() < share;
    }

    private pickDelay(maxMs: number): number {
        return maxMs > 0 ? this.random() * maxMs : 0;
    }
}
