import type { TaskRef } from "@sardinestage/describe-work";
import type { StepRun } from "./stepRun.js";
import { TaskPhase } from "./taskPhase.js";

const FULL_PERCENT = 100;

/** One task and its newest run. */
export class Task {
    private currentPhase = TaskPhase.Waiting;
    private newestRun = 0;
    /** Numbers of the runs that ended through a fault; an end may be reported again after a takeover. */
    readonly failedRuns = new Set<number>();
    /** Where the next run resumes; empty for the beginning. */
    checkpoint = "";
    /** The worker of the newest run; empty while nothing runs. */
    workerId = "";
    /** The worker on which the last run failed; empty if none did. */
    lastFailedOn = "";
    /** When the newest run was ordered, in steady milliseconds. */
    orderedAtMs = 0;
    /** Progress as last listed. */
    percent = 0;
    /** When `percent` last changed or the run was first seen, in steady milliseconds. */
    progressAtMs = 0;
    /** When the newest run was first seen at work, in steady milliseconds. */
    seenAtMs = 0;
    /** A hold sent after this tells for certain whether the newest run is there, in steady milliseconds. */
    settledAtMs = 0;
    /** Whether the order to start got no answer, so that it may be carried out late. */
    isUncertain = false;
    /** Tail latency or processor in use, as last listed. */
    figure = 0;
    private currentPace = FULL_PERCENT;
    /** When that was last changed, in steady milliseconds. */
    pacedAtMs = 0;

    constructor(readonly step: StepRun, readonly index: number) {}

    /** Where it stands. */
    get phase(): TaskPhase {
        return this.currentPhase;
    }

    set phase(phase: TaskPhase) {
        const before = this.currentPhase;
        if (phase !== before) {
            this.currentPhase = phase;
            this.step.notePhase(before, phase);
        }
    }

    /** Number of the newest run; 0 before the first. */
    get run(): number {
        return this.newestRun;
    }

    set run(run: number) {
        const change = Number(run > 0) - Number(this.newestRun > 0);
        this.newestRun = run;
        if (change !== 0) {
            this.step.occurrence.noteStarted(change);
        }
    }

    /** The share of its speed that it was last allowed, in percent. */
    get pace(): number {
        return this.currentPace;
    }

    set pace(percent: number) {
        this.currentPace = percent;
        if (percent < FULL_PERCENT) {
            this.step.occurrence.job.noteSlowed(this);
        }
    }

    /** The task's name. */
    get ref(): TaskRef {
        const { occurrence } = this.step;
        return {
            jobId: occurrence.job.id,
            occurrence: occurrence.number,
            step: this.step.number,
            index: this.index,
        };
    }

    /** Whether a run of it may be at work. */
    get isActive(): boolean {
        return this.phase === TaskPhase.Ordered || this.phase === TaskPhase.Running
            || this.phase === TaskPhase.Stopping;
    }
}
