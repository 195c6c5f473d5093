import type { HoldAnswer } from "@sardinestage/describe-ports";
import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import { chooseHoldPause } from "./chooseHoldPause.js";
import { chooseHoldWait } from "./chooseHoldWait.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { limits } from "./limits.js";
import type { WorkerLink } from "./workerLink.js";

/** Callbacks of a lease renewal loop. */
interface HoldHandlers {
    /** Waits until reports can be applied. Returns false if the lease has to be renewed first. */
    readonly waitUntilOpen: () => boolean | Promise<boolean>;
    /** Whether all jobs named in a report are known; false if one of them can't be read from the store yet. */
    readonly hasAllJobs: (answer: HoldAnswer) => boolean | Promise<boolean>;
    /** Applies a report; the renewal was sent at `sentAtMs` and the report arrived at `receivedAtMs`. */
    readonly takeAnswer: (link: WorkerLink, answer: HoldAnswer, sentAtMs: number, receivedAtMs: number) => void;
    /** Whether the worker's lease need not be renewed any more. */
    readonly isOver: (link: WorkerLink) => boolean;
}

/**
 * Renews one worker's lease in a long-poll loop. Each call acknowledges the run ends that are recorded, and returns as
 * soon as a run ends.
 */
export class HoldLoop {
    /** Whether the last answer served only to read the worker's clock, so that no report has been applied since. */
    private isListOwed = false;

    constructor(
        private readonly parts: CoordinatorParts,
        private readonly link: WorkerLink,
        private readonly handlers: HoldHandlers,
    ) {}

    /** Runs until the worker is removed, this coordinator is closed, or a later term is reported. */
    async run(): Promise<void> {
        while (!this.handlers.isOver(this.link)) {
            const sentAtMs = this.parts.clock.getNow();
            const hasLease = this.link.clockAtMs > 0 && this.link.missedHolds < limits.holdsBeforeLapse;
            const answer = await this.sendHold(sentAtMs, hasLease);
            if (this.handlers.isOver(this.link)) {
                return;
            }
            if (answer.outcome === OrderOutcome.Accepted) {
                this.link.missedHolds = 0;
                if (!hasLease) {
                    this.noteClock(answer);
                    continue;
                }
                this.link.isLeaseExtended = true;
                const receivedAtMs = this.parts.clock.getNow();
                if (await this.handlers.waitUntilOpen()) {
                    this.isListOwed = false;
                    await this.takeAnswer(answer, sentAtMs, receivedAtMs);
                }
            }
            else if (answer.outcome === OrderOutcome.StaleFence) {
                this.parts.onDeposed("hold:stale-fence");
                return;
            }
            else {
                this.noteMiss(answer.outcome);
                await waitFor(this.parts.clock, limits.holdRetryMs);
            }
        }
    }

    /**
     * Reads the worker's clock from an answer to a call without a lease. Leases are stated on the worker's own clock,
     * so they can be renewed only after this; a silent worker isn't asked to renew. The answer's lists are ignored:
     * applying them may take longer than the rest of the current lease, so the renewal is sent first.
     */
    private noteClock(answer: HoldAnswer): void {
        const { link, parts } = this;
        link.clockMs = answer.clockMs;
        link.clockAtMs = parts.clock.getNow();
        if (link.bornMs !== answer.bornMs) {
            link.leaseUntilMs = answer.clockMs + parts.rules.maxLeaseMs;
        }
        this.isListOwed = true;
    }

    /** Applies a report once all its jobs are known: a run's end must not be acknowledged before its job was read. */
    private async takeAnswer(answer: HoldAnswer, sentAtMs: number, receivedAtMs: number): Promise<void> {
        const isComplete = await this.handlers.hasAllJobs(answer);
        if (this.handlers.isOver(this.link)) {
            return;
        }
        if (!isComplete) {
            this.parts.metrics.count("hold_failures_total", "job-unread");
            await waitFor(this.parts.clock, limits.holdRetryMs);
            return;
        }
        this.handlers.takeAnswer(this.link, answer, sentAtMs, receivedAtMs);
        await this.waitForRecord();
        const pauseMs = chooseHoldPause(this.parts.getLoopDelay());
        if (pauseMs > 0) {
            await waitFor(this.parts.clock, pauseMs);
        }
    }

    private sendHold(nowMs: number, hasLease: boolean): Promise<HoldAnswer> {
        const { link, parts } = this;
        const { id, address } = link.entry;
        let leaseUntilMs: number | undefined;
        if (hasLease) {
            leaseUntilMs = Math.floor(link.getClock(nowMs) + parts.rules.leaseMs);
            link.leaseUntilMs = Math.max(link.leaseUntilMs, leaseUntilMs);
        }
        const longestMs = chooseHoldWait(link.isShared, parts.getLoopDelay());
        const waitMs = link.isHeld && !this.isListOwed && link.missedHolds === 0 ? longestMs : 0;
        const order = { fence: parts.term, lastSeen: link.recordedEnd, leaseUntilMs, waitMs };
        return parts.workers.hold({ id, address }, order);
    }

    private noteMiss(outcome: OrderOutcome): void {
        const { link, parts } = this;
        link.missedHolds++;
        if (link.missedHolds === 1) {
            parts.metrics.count("hold_failures_total", OrderOutcome[outcome]);
        }
        if (link.missedHolds === limits.holdsBeforeLapse) {
            const fields = { worker: link.entry.id, outcome: OrderOutcome[outcome], tasks: link.tasks.size };
            parts.logger.warn("worker-silent", { ...fields, lapsesAtMs: Math.round(link.getLapseTime()) });
        }
    }

    /** Waits until the applied ends are recorded; a renewal before that would return the same ends again. */
    private waitForRecord(): Promise<void> {
        const { link } = this;
        if (link.recordedEnd >= link.appliedEnd) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const wake = () => {
                link.wakeHold = undefined;
                cancel();
                resolve();
            };
            const cancel = this.parts.clock.schedule(limits.endRecordWaitMs, wake);
            link.wakeHold = wake;
        });
    }
}
