import type { HoldAnswer } from "@sardinestage/describe-ports";
import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import { chooseHoldPause } from "./chooseHoldPause.js";
import { chooseHoldWait } from "./chooseHoldWait.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { limits } from "./limits.js";
import type { WorkerLink } from "./workerLink.js";

/** What a hold loop tells the coordinator. */
interface HoldHandlers {
    /** Waits until lists can be dealt with; false when the lease is to be extended before that. */
    readonly waitUntilOpen: () => boolean | Promise<boolean>;
    /** Whether all that a worker listed can be understood; false while the store doesn't tell of a job that it names. */
    readonly hasAllJobs: (answer: HoldAnswer) => boolean | Promise<boolean>;
    /** Takes what a worker listed when it was asked at `sentAtMs`; that came at `receivedAtMs`. */
    readonly takeAnswer: (link: WorkerLink, answer: HoldAnswer, sentAtMs: number, receivedAtMs: number) => void;
    /** Whether the worker need not be asked any more. */
    readonly isOver: (link: WorkerLink) => boolean;
}

/** Keeps one worker held: extends its lease, acknowledges recorded ends and learns of new ones as they come. */
export class HoldLoop {
    /** Whether the last answer only told the clock, so that its list is still to come. */
    private isListOwed = false;

    constructor(
        private readonly parts: CoordinatorParts,
        private readonly link: WorkerLink,
        private readonly handlers: HoldHandlers,
    ) {}

    /** Runs until the worker is no longer of interest. */
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
     * A lease can be asked for only on the worker's own clock, and isn't while the worker is silent. It goes out before
     * anything is done with what the worker lists: that may take longer than what is left of the lease before it.
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

    /** An end of a job that wasn't read yet must not be acknowledged unseen, so the job is read first. */
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

    /** Ends are acknowledged only once they are recorded; asking earlier would list the same ends again. */
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
