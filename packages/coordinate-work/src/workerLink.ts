import type { WorkerEntry } from "@sardinestage/describe-work";
import type { PaceState } from "@sardinestage/plan-pace";
import type { Task } from "@sardinestage/track-jobs";
import { limits } from "./limits.js";

/** What a coordinator knows of one worker. */
export class WorkerLink {
    /** Tasks with a run that may be at work there. */
    readonly tasks = new Set<Task>();
    /** When its life began, as it said last; 0 before its first answer. */
    bornMs = 0;
    /** Whether it has answered in this term: what it runs is known. */
    isHeld = false;
    /** Whether it has taken a lease of this term. */
    isLeaseExtended = false;
    /** Whether its entry is gone from the list. */
    isGone = false;
    /** Ends up to this number have been applied. */
    appliedEnd = 0;
    /** Ends up to this number are recorded in the store. */
    recordedEnd = 0;
    /** Its clock at its last answer, and when that came. */
    clockMs = 0;
    clockAtMs = 0;
    /** The latest end of its lease that any order named, on its clock. */
    leaseUntilMs = 0;
    /** When everything there has certainly lapsed although no answer told its clock, in steady milliseconds. */
    lapsedAtMs: number;
    /** Holds in a row without an answer. */
    missedHolds = 0;
    /** No starts before this, in steady milliseconds. */
    blockedUntilMs = 0;
    /** Start calls under way. */
    startsUnderWay = 0;
    readonly waitingStarts: (() => void)[] = [];
    /** Whether filling tasks work beside serving ones there. */
    isShared = false;
    pace: PaceState = { overSinceMs: undefined, heldUntilMs: 0 };
    /** Wakes the hold loop when ends have been recorded. */
    wakeHold: (() => void) | undefined;
    /** Failed runs in a row, and the jobs that they belonged to. */
    readonly failedJobs = new Set<string>();
    failStreak = 0;
    /** How often it has been put on probation. */
    probations = 0;
    probationUntilMs = 0;
    isOnTrial = false;

    /**
     * @param entry Its entry in the list.
     * @param fallbackLapseMs When everything that earlier coordinators let run has lapsed, in steady milliseconds.
     */
    constructor(public entry: WorkerEntry, fallbackLapseMs: number) {
        this.lapsedAtMs = fallbackLapseMs;
    }

    /** Its clock now, or a little less: an answer was under way for a while. */
    getClock(nowMs: number): number {
        return this.clockMs + (nowMs - this.clockAtMs);
    }

    /** When its lease has certainly run out, in steady milliseconds, if it gets no further order. */
    getLapseTime(): number {
        if (this.clockAtMs === 0) {
            return this.lapsedAtMs;
        }
        return this.clockAtMs + Math.max(0, this.leaseUntilMs - this.clockMs) / limits.slowestClock;
    }

    /** Forgets what belonged to an earlier life. */
    reset(bornMs: number): void {
        this.bornMs = bornMs;
        this.appliedEnd = 0;
        this.recordedEnd = 0;
        this.leaseUntilMs = 0;
        this.clockAtMs = 0;
        this.failStreak = 0;
        this.failedJobs.clear();
        this.isOnTrial = false;
        this.probationUntilMs = 0;
        this.pace = { overSinceMs: undefined, heldUntilMs: 0 };
    }
}
