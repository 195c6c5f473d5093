import type { LeaseReport } from "@sardinestage/describe-ports";
import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import { formatTaskKey } from "@sardinestage/describe-work";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { describeProblem } from "../describeProblem.js";
import { limits } from "../limits.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { chooseLongPollTimeout } from "./chooseLongPollTimeout.js";
import { chooseRecordWait } from "./chooseRecordWait.js";
import { chooseRenewalPause } from "./chooseRenewalPause.js";
import { computeLeaseLength } from "./computeLeaseLength.js";
import type { ReportRequest } from "./reportRequest.js";

/** Callbacks of a lease renewal loop. */
interface LeaseRenewalHandlers {
    /** Waits until reports can be applied. Returns false if the lease has to be renewed first. */
    readonly waitUntilOpen: () => boolean | Promise<boolean>;
    /** Whether all jobs named in a report are known; false if one of them can't be read from the store yet. */
    readonly hasAllJobs: (report: LeaseReport) => boolean | Promise<boolean>;
    /** Applies the report that answers a renewal. */
    readonly applyReport: (worker: TrackedWorker, report: LeaseReport, request: ReportRequest) => void;
    /** Called when ends were added to those that the worker has told in answers which aren't applied as reports. */
    readonly noteEndsLeftAside: (worker: TrackedWorker) => void;
    /** Whether the worker's lease need not be renewed any more. */
    readonly isOver: (worker: TrackedWorker) => boolean;
}

/**
 * Renews one worker's lease in a long-poll loop. Each call acknowledges the run ends that are recorded, and returns as
 * soon as a run ends.
 */
export class LeaseRenewalLoop {
    /** Whether the last answer served only to read the worker's clock, so that no report has been applied since. */
    private isReportDue = false;
    /** The last answer that wasn't applied as a report, if none has been applied in this term. */
    private unapplied: { readonly report: LeaseReport; readonly request: ReportRequest } | undefined;
    /** How often the loop has waited again for the record of the last end that was applied. */
    private waits = { endNumber: 0, count: 0 };

    constructor(
        private readonly parts: CoordinatorParts,
        private readonly worker: TrackedWorker,
        private readonly handlers: LeaseRenewalHandlers,
    ) {}

    /**
     * Runs until the worker is removed, this coordinator is closed, or a later term is reported. An unexpected error is
     * logged and the loop goes on: without renewals, everything on the worker would be stopped.
     */
    async run(): Promise<void> {
        while (!this.handlers.isOver(this.worker)) {
            try {
                await this.renewUntilOver();
                return;
            }
            catch (failure) {
                const fields = { worker: this.worker.entry.id, problem: describeProblem(failure) };
                this.parts.logger.error("renewal-failed", fields);
                await waitFor(this.parts.clock, limits.renewalRetryMs);
            }
        }
    }

    private async renewUntilOver(): Promise<void> {
        while (!this.handlers.isOver(this.worker)) {
            if (!this.parts.hasAuthority()) {
                await this.checkForLaterTerm();
                continue;
            }
            const sentAtMs = this.parts.clock.getNow();
            const hasLease = this.worker.answeredAtMs > 0 && this.worker.missedRenewals < limits.maxMissedRenewals;
            const { fence } = this.worker.life;
            const report = await this.sendRenewal(sentAtMs, hasLease);
            if (this.handlers.isOver(this.worker)) {
                this.noteLeftAside(report, "worker-removed");
                return;
            }
            if (report.outcome === OrderOutcome.Accepted) {
                this.noteHeard();
                await this.handleAnswer(report, { sentAtMs, receivedAtMs: this.parts.clock.getNow(), fence }, hasLease);
            }
            else if (report.outcome === OrderOutcome.StaleFence) {
                this.parts.onTermLost("hold:stale-fence");
                return;
            }
            else {
                this.noteLeftAside(report, "unrenewed");
                this.noteMissedRenewal(report.outcome);
                this.startApplyingKept();
                await waitFor(this.parts.clock, limits.renewalRetryMs);
            }
        }
    }

    /**
     * Asks the worker without renewing its lease, and leaves its answer aside but for one thing: a worker that has seen
     * a later fencing token says that the term is over.
     */
    private async checkForLaterTerm(): Promise<void> {
        const { parts, worker } = this;
        const order = { fence: worker.life.fence, lastRecordedEnd: 0, leaseUntilMs: undefined, waitMs: 0, bornMs: 0 };
        const report = await parts.workers.renewLease(worker.entry, order);
        if (report.outcome === OrderOutcome.StaleFence && !this.handlers.isOver(worker)) {
            parts.onTermLost("hold:stale-fence");
        }
        this.noteLeftAside(report, "no-authority");
        await waitFor(parts.clock, limits.unauthorizedPauseMs);
    }

    private async handleAnswer(report: LeaseReport, request: ReportRequest, hadLease: boolean): Promise<void> {
        const { worker } = this;
        const isOtherLife = worker.life.noteAnswer(report.bornMs);
        if (isOtherLife) {
            const fields = { worker: worker.entry.id, bornMs: report.bornMs, fence: worker.life.fence };
            this.parts.logger.warn("worker-restart-seen", fields);
        }
        if (!hadLease || isOtherLife) {
            this.noteLeftAside(report, isOtherLife ? "other-life" : "no-lease");
            this.readClock(report);
            this.noteUnapplied(report, request);
            return;
        }
        worker.isLeaseRenewed = true;
        if (!worker.life.isReportedBy(request)) {
            // The worker may still carry out orders for a former life.
            this.noteLeftAside(report, "older-token");
            this.readClock(report);
            await waitFor(this.parts.clock, limits.renewalRetryMs);
        }
        else if (await this.handlers.waitUntilOpen()) {
            this.isReportDue = false;
            await this.handleReport(report, request);
        }
        else {
            this.noteLeftAside(report, "takeover");
            this.noteUnapplied(report, request);
        }
    }

    /** Keeps an answer that tells which runs a worker has, in case that the worker answers no more. */
    private noteUnapplied(report: LeaseReport, request: ReportRequest): void {
        this.unapplied = this.worker.hasReported ? undefined : { report, request };
    }

    /** Has the answer applied that was kept; the loop goes on meanwhile, since the worker may only be hard to reach. */
    private startApplyingKept(): void {
        this.applyKept().catch((failure: unknown) => {
            const fields = { worker: this.worker.entry.id, problem: describeProblem(failure) };
            this.parts.logger.error("renewal-failed", fields);
        });
    }

    /**
     * Applies the answer that was kept of a worker that is silent now and hasn't reported in this term. Its runs are known
     * by that answer: since it has seen this term's token, no earlier coordinator has started any more there.
     */
    private async applyKept(): Promise<void> {
        const { worker, unapplied, handlers } = this;
        if (
            unapplied === undefined || !await handlers.waitUntilOpen() || !await handlers.hasAllJobs(unapplied.report)
        ) {
            return;
        }
        const { report, request } = unapplied;
        const isCurrent = worker.life.bornMs === report.bornMs && worker.life.isReportedBy(request);
        const isNeeded = !worker.hasReported && worker.missedRenewals > 0 && !handlers.isOver(worker);
        if (this.unapplied === unapplied && isCurrent && isNeeded) {
            this.unapplied = undefined;
            const { leaseUntilMs } = worker;
            handlers.applyReport(worker, report, request);
            // Renewals that were sent after this answer may have reached the worker, whose answers to them are missing.
            worker.leaseUntilMs = Math.max(worker.leaseUntilMs, leaseUntilMs);
        }
    }

    /** Keeps the ends in an answer that isn't applied as a report: a worker that leaves may not list them again. */
    private noteLeftAside(report: LeaseReport, reason: string): void {
        const { logger, metrics } = this.parts;
        const { ended } = report;
        const added = this.worker.unappliedEnds.remember(report.bornMs, ended);
        if (added === 0) {
            return;
        }
        this.handlers.noteEndsLeftAside(this.worker);
        metrics.count("ends_left_aside_total", reason, added);
        logger.info("ends-left-aside", {
            worker: this.worker.entry.id,
            reason,
            bornMs: report.bornMs,
            ends: added,
            first: formatTaskKey(ended[0].task),
            run: ended[0].run,
            number: ended[0].number,
            running: report.running.length,
        });
    }

    /**
     * Reads the worker's clock from an answer to a call without a lease. Leases are stated on the worker's own clock,
     * so they can be renewed only after this; a silent worker isn't asked to renew. The answer's lists aren't applied:
     * that may take longer than the rest of the current lease, so the renewal is sent first.
     */
    private readClock(report: LeaseReport): void {
        const { worker, parts } = this;
        worker.clockMs = report.clockMs;
        worker.answeredAtMs = parts.clock.getNow();
        if (worker.bornMs !== report.bornMs) {
            // An earlier coordinator, or orders for a former life, may have brought the longest lease.
            worker.leaseUntilMs = report.clockMs + parts.rules.maxLeaseMs;
        }
        this.isReportDue = true;
    }

    /** Applies a report once all its jobs are known: a run's end must not be acknowledged before its job was read. */
    private async handleReport(report: LeaseReport, request: ReportRequest): Promise<void> {
        const isComplete = await this.handlers.hasAllJobs(report);
        if (this.handlers.isOver(this.worker)) {
            this.noteLeftAside(report, "worker-removed");
            return;
        }
        if (!isComplete) {
            this.noteLeftAside(report, "job-unread");
            this.parts.metrics.count("hold_failures_total", "job-unread");
            await waitFor(this.parts.clock, limits.renewalRetryMs);
            return;
        }
        this.handlers.applyReport(this.worker, report, request);
        await this.waitUntilRecorded();
        const pauseMs = chooseRenewalPause(this.parts.getLoopDelay());
        if (pauseMs > 0) {
            await waitFor(this.parts.clock, pauseMs);
        }
    }

    private sendRenewal(nowMs: number, hasLease: boolean): Promise<LeaseReport> {
        const { worker, parts } = this;
        let leaseUntilMs: number | undefined;
        if (hasLease) {
            const leaseMs = computeLeaseLength(parts.rules.leaseMs, parts.getAuthorityAge());
            leaseUntilMs = Math.floor(worker.estimateClock(nowMs) + leaseMs);
            worker.leaseUntilMs = Math.max(worker.leaseUntilMs, leaseUntilMs);
        }
        const longPollMs = chooseLongPollTimeout(worker.hasMixedTasks, parts.getLoopDelay());
        const waitMs = worker.hasReported && !this.isReportDue && worker.missedRenewals === 0 ? longPollMs : 0;
        const { bornMs, fence } = worker.life;
        const lastRecordedEnd = bornMs === worker.bornMs ? worker.recordedEndNumber : 0;
        const order = { fence, lastRecordedEnd, leaseUntilMs, waitMs, bornMs };
        return parts.workers.renewLease(worker.entry, order);
    }

    private noteHeard(): void {
        const { worker, parts } = this;
        if (worker.missedRenewals >= limits.maxMissedRenewals) {
            const silentMs = worker.answeredAtMs === 0
                ? undefined
                : Math.round(parts.clock.getNow() - worker.answeredAtMs);
            const fields = { worker: worker.entry.id, silentMs, missedRenewals: worker.missedRenewals };
            parts.logger.info("worker-heard-again", fields);
        }
        worker.missedRenewals = 0;
    }

    private noteMissedRenewal(outcome: OrderOutcome): void {
        const { worker, parts } = this;
        worker.missedRenewals++;
        worker.life.noteSilence();
        if (worker.missedRenewals === 1) {
            parts.metrics.count("hold_failures_total", OrderOutcome[outcome]);
        }
        if (worker.missedRenewals === limits.maxMissedRenewals) {
            const fields = { worker: worker.entry.id, outcome: OrderOutcome[outcome], tasks: worker.tasks.size };
            parts.logger.warn("worker-silent", { ...fields, lapsesAtMs: Math.round(worker.getLeaseExpiry()) });
        }
    }

    /** Waits until the applied ends are recorded; a renewal before that would return the same ends again. */
    private waitUntilRecorded(): Promise<void> {
        const { worker } = this;
        if (worker.recordedEndNumber >= worker.appliedEndNumber) {
            return Promise.resolve();
        }
        const isSameEnd = this.waits.endNumber === worker.appliedEndNumber;
        this.waits = { endNumber: worker.appliedEndNumber, count: isSameEnd ? this.waits.count + 1 : 0 };
        return new Promise(resolve => {
            const wake = () => {
                worker.wakeRenewal = undefined;
                cancel();
                resolve();
            };
            const waitMs = chooseRecordWait(worker.isLeaving, this.waits.count, this.parts.getLoopDelay());
            const cancel = this.parts.clock.schedule(waitMs, wake);
            worker.wakeRenewal = wake;
        });
    }
}
