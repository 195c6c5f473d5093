import type { WorkerEntry } from "@sardinestage/describe-work";
import { WorkerState } from "@sardinestage/describe-work";
import { WorkerSlowness } from "@sardinestage/learn-behaviour";
import type { PaceState } from "@sardinestage/plan-pace";
import type { Task } from "@sardinestage/track-jobs";
import { limits } from "../limits.js";
import { CallLimiter } from "../orders/callLimiter.js";
import { ColdPhase } from "./coldPhase.js";
import type { LeaseEnd } from "./leaseEnd.js";
import { LeaseSource } from "./leaseSource.js";
import { RecentEnds } from "./recentEnds.js";
import { UnappliedEnds } from "./unappliedEnds.js";
import type { WorkerFailure } from "./workerFailure.js";
import { WorkerLife } from "./workerLife.js";

/** The coordinator's state of one worker. */
export class TrackedWorker {
    /** Tasks with a run that may be active on the worker. */
    readonly tasks = new Set<Task>();
    /**
     * Keys of the runs that the worker has beside those of `tasks`, such as runs of a cancelled job that an earlier
     * coordinator was stopping. How much they use may not be known, so the worker gets no start meanwhile.
     */
    readonly strayRuns = new Set<string>();
    /** Ends that the worker has told in answers which weren't applied as reports. */
    readonly unappliedEnds = new UnappliedEnds();
    /** The worker's present life, and the fencing token of the orders to it. */
    readonly life: WorkerLife;
    /** When the life began whose report was applied last, in Unix milliseconds; 0 before the first report. */
    bornMs = 0;
    /** Whether a report has been applied in this term, so that the worker's runs are known. */
    hasReported = false;
    /** Whether the worker has accepted a lease renewal in this term. */
    isLeaseRenewed = false;
    /** Whether the worker's entry is missing from the platform's list. */
    isUnlisted = false;
    /** Run ends up to this number have been applied. */
    appliedEndNumber = 0;
    /** Run ends up to this number are recorded in the store. */
    recordedEndNumber = 0;
    /** The worker's clock in its last answer. */
    clockMs = 0;
    /** When that answer arrived, in steady milliseconds; 0 before the first one. */
    answeredAtMs = 0;
    /** The latest end of the lease stated in any order to the worker, on the worker's clock. */
    leaseUntilMs = 0;
    private lastStartAtMs = -Infinity;
    private startLeaseEndMs = -Infinity;
    /** Consecutive lease renewals without an answer. */
    missedRenewals = 0;
    /** When it was found last that a start had got no answer, in steady milliseconds. */
    startUnansweredAtMs = -Infinity;
    /** No starts before this, in steady milliseconds. */
    blockedUntilMs = 0;
    /** Number of start calls under way. */
    startsUnderWay = 0;
    /** Limits the stop calls under way: many tasks may be cancelled at once, and calls that queue would time out. */
    readonly stopCalls = new CallLimiter(limits.maxConcurrentStops);
    /** Keys of the stray runs whose stop order is under way or waits to be sent. */
    readonly stoppingStrays = new Set<string>();
    /** Start calls that wait for one under way to finish, in order. */
    readonly waitingStarts: (() => void)[] = [];
    /** Whether best-effort tasks run beside serving tasks on the worker. */
    hasMixedTasks = false;
    /** State of the rules that throttle best-effort tasks on the worker. */
    pace: PaceState = { overSinceMs: undefined, noIncreaseUntilMs: 0 };
    /** Wakes the lease renewal loop after run ends have been recorded. */
    wakeRenewal: (() => void) | undefined;
    /** The failed runs since the worker last proved sound, the oldest first. */
    failures: readonly WorkerFailure[] = [];
    /** How often a run has shown that the worker is sound after others had failed. */
    proofCount = 0;
    /** What the ends of the life's recent runs tell. */
    recentEnds = new RecentEnds();
    /** How slow the life's recent runs were. */
    slowness = new WorkerSlowness();
    /** Until when the life stays slow after its start. */
    readonly coldPhase = new ColdPhase();
    /** How often the worker has been put on probation lately. */
    probationCount = 0;
    /** The number of failures that the present probation follows from. */
    probationFailureCount = 0;
    /** No new work before this, in steady milliseconds. */
    probationUntilMs = 0;
    /** Whether the worker gets only one task at a time after a probation, until a run shows that it is sound. */
    isOnTrial = false;

    /**
     * @param entry The worker's entry in the platform's list.
     * @param getEarlierLeasesExpiry Returns when all leases from earlier coordinators have expired on a worker whose life
     *   began at a time, in Unix milliseconds, by its entry. The result is in steady milliseconds; used before the
     *   worker's first answer.
     * @param getNewestFence Returns the newest fencing token of the term.
     * @param isDomainEvacuated Whether no task may start on the workers of a failure domain.
     */
    constructor(
        public entry: WorkerEntry,
        private readonly getEarlierLeasesExpiry: (bornMs: number) => number,
        getNewestFence: () => number,
        private readonly isDomainEvacuated: (domain: string) => boolean = () => false,
    ) {
        this.life = new WorkerLife(getNewestFence);
    }

    /** Whether the worker drains or is no longer listed, so that it may soon be gone. */
    get isLeaving(): boolean {
        return this.isUnlisted || this.entry.state === WorkerState.Draining;
    }

    /** Whether the operator lets no task start on the workers of this worker's failure domain. */
    get isEvacuated(): boolean {
        return this.isDomainEvacuated(this.entry.domain);
    }

    /** Whether a report of the worker's present life has been applied, so that its runs are known. */
    get isLifeReported(): boolean {
        return this.hasReported && this.bornMs === this.life.bornMs;
    }

    /** Whether the worker has left a start unanswered since its last answer to a renewal, so that it may be gone. */
    get hasUnansweredStart(): boolean {
        return this.startUnansweredAtMs > this.answeredAtMs;
    }

    /** Estimates the worker's clock. The result is slightly low, by the time that the last answer was under way. */
    estimateClock(nowMs: number): number {
        return this.clockMs + (nowMs - this.answeredAtMs);
    }

    /**
     * Notes that a start is sent or its outcome becomes known. It may have reached a life that hasn't answered yet, whose
     * clock is another one, so that it grants the longest lease.
     *
     * @param nowMs The present time, in steady milliseconds.
     * @param maxLeaseMs The longest lease that a worker grants, on its clock, in milliseconds.
     */
    noteStart(nowMs: number, maxLeaseMs: number): void {
        this.lastStartAtMs = nowMs;
        this.startLeaseEndMs = nowMs + maxLeaseMs / limits.slowestClockRate;
    }

    /** When the worker's lease has certainly expired if no further order renews it, in steady milliseconds. */
    getLeaseExpiry(): number {
        return this.findLeaseEnd().atMs;
    }

    /** Finds when the worker's lease has certainly expired if no further order renews it, and what that follows from. */
    findLeaseEnd(): LeaseEnd {
        if (this.answeredAtMs === 0) {
            return { atMs: this.getEarlierLeasesExpiry(this.entry.bornMs), source: LeaseSource.EarlierTerms };
        }
        const leaseEndMs = this.answeredAtMs
            + Math.max(0, this.leaseUntilMs - this.clockMs) / limits.slowestClockRate;
        return this.lastStartAtMs > this.answeredAtMs && this.startLeaseEndMs > leaseEndMs
            ? { atMs: this.startLeaseEndMs, source: LeaseSource.StartOnUnknownLife }
            : { atMs: leaseEndMs, source: LeaseSource.Order };
    }

    /**
     * Resets all state that belongs to an earlier process of the worker.
     *
     * @param bornMs When the new process started.
     * @param leaseUntilMs The latest end of a lease that orders to the earlier process may have brought the new one.
     */
    reset(bornMs: number, leaseUntilMs: number): void {
        this.bornMs = bornMs;
        this.strayRuns.clear();
        this.appliedEndNumber = 0;
        this.recordedEndNumber = 0;
        this.leaseUntilMs = leaseUntilMs;
        this.answeredAtMs = 0;
        this.startUnansweredAtMs = -Infinity;
        this.failures = [];
        this.recentEnds = new RecentEnds();
        this.slowness = new WorkerSlowness();
        this.isOnTrial = false;
        this.probationUntilMs = 0;
        this.pace = { overSinceMs: undefined, noIncreaseUntilMs: 0 };
    }
}
