import type { TaskRef } from "@sardinestage/describe-work";
import type { FailureEvidence } from "./failureEvidence.js";
import type { StepRun } from "./stepRun.js";
import { TaskPhase } from "./taskPhase.js";

const FULL_PERCENT = 100;
/** The failed runs of a task that has none, so that it takes little memory. */
const NO_RUNS: ReadonlySet<number> = new Set();

/** A task of a job, with its newest run. */
export class Task {
    private currentPhase = TaskPhase.Waiting;
    private newestRun = 0;
    private failures: Set<number> | undefined;
    /** Checkpoint from which the next run resumes; empty to start from the beginning. */
    checkpoint = "";
    /** Id of the worker that has the active run; empty if no run is active. */
    workerId = "";
    /** Id of the worker on which a run last failed; empty if none has failed. */
    lastFailedWorkerId = "";
    /** When the newest run was ordered, in steady milliseconds. */
    orderedAtMs = 0;
    /** Progress of the newest run in percent, as last reported by the worker. */
    percent = 0;
    /** When `percent` last changed or the run was first seen, in steady milliseconds. */
    progressAtMs = 0;
    /** When a worker first listed the newest run as active, in steady milliseconds; 0 before. */
    firstSeenAtMs = 0;
    /** When a worker last listed the newest run as active, in steady milliseconds; 0 before. */
    listedAtMs = 0;
    /**
     * When the outcome of the newest run's last order became known, in steady milliseconds; infinite while it is
     * unknown. Only the report of a lease renewal sent after this time proves whether the worker has the run.
     */
    orderSettledAtMs = 0;
    /**
     * Fencing token of the order that started the newest run; 0 if an earlier coordinator sent it, infinite before it is
     * sent.
     */
    orderFence = 0;
    /** Whether the newest run's start is recorded and waits to be sent. */
    isStartQueued = false;
    /** Whether the call that starts the newest run is under way: whichever life of the worker it reaches may start the run. */
    isStartUnderWay = false;
    /** Whether the start order got no answer, so that the worker may still carry it out. */
    isStartUnconfirmed = false;
    /** Last reported measurement: tail latency in milliseconds of a serving task, otherwise CPU usage in millicores. */
    measurement = 0;
    /** The active copy of the task: a second run beside the task's own; only in speculative steps. */
    copy: Task | undefined;
    /** Number of the newest copy; 0 if the task has had none in this term. */
    lastCopyRun = 0;
    /** The task's failed runs since the last that succeeded; undefined if there are none, or an earlier term had them. */
    failureEvidence: FailureEvidence | undefined;
    private currentPace = FULL_PERCENT;
    /** When the pace was last changed, in steady milliseconds. */
    pacedAtMs = 0;

    /**
     * @param step The step.
     * @param index Index of the task in the step.
     * @param original The task of which this is a copy, that is, another run; undefined for a task of the step.
     */
    constructor(readonly step: StepRun, readonly index: number, readonly original?: Task) {}

    /** Creates a task that stands for a done one of which the step keeps no object. No reported run is newer. */
    static createForgotten(step: StepRun, index: number): Task {
        const task = new Task(step, index);
        task.currentPhase = TaskPhase.Done;
        task.newestRun = Number.MAX_SAFE_INTEGER;
        return task;
    }

    /** Numbers of the failed runs; a set, because a failure may be reported again after a takeover. */
    get failedRuns(): ReadonlySet<number> {
        return this.failures ?? NO_RUNS;
    }

    /** Adds a failed run; each run counts once. */
    addFailedRun(run: number): void {
        this.failures ??= new Set();
        this.failures.add(run);
    }

    /** Phase of the task; setting it updates the counters of the step. */
    get phase(): TaskPhase {
        return this.currentPhase;
    }

    set phase(phase: TaskPhase) {
        const before = this.currentPhase;
        if (phase !== before) {
            this.currentPhase = phase;
            if (this.original === undefined) {
                this.step.notePhase(this, before, phase);
            }
            else {
                this.step.noteCopyPhase(this, before, phase);
            }
        }
    }

    /** Number of the newest run; 0 before the first run. */
    get run(): number {
        return this.newestRun;
    }

    set run(run: number) {
        const change = Number(run > 0) - Number(this.newestRun > 0);
        const isNew = run !== this.newestRun;
        this.newestRun = run;
        if (isNew) {
            this.step.noteRecordChanged(this.index);
        }
        if (change !== 0 && this.original === undefined) {
            this.step.occurrence.noteStarted(change);
        }
    }

    /** Share of its full speed at which the task may work, in percent, as last ordered. */
    get pace(): number {
        return this.currentPace;
    }

    set pace(percent: number) {
        this.currentPace = percent;
        if (percent < FULL_PERCENT) {
            this.step.occurrence.job.noteThrottled(this);
        }
    }

    /** Reference that identifies the task. */
    get ref(): TaskRef {
        const { occurrence } = this.step;
        return {
            jobId: occurrence.job.id,
            occurrence: occurrence.number,
            step: this.step.number,
            index: this.index,
        };
    }

    /** Whether the task waits and nothing has ever become of it, so that it needs no object. */
    get isUnused(): boolean {
        return this.phase === TaskPhase.Waiting && this.run === 0 && this.checkpoint === ""
            && this.lastFailedWorkerId === "" && this.failedRuns.size === 0;
    }

    /** Whether the runs of the task, or of its whole step, fail wherever they are tried. */
    get failsEverywhere(): boolean {
        const evidence = (this.original ?? this).failureEvidence;
        return evidence?.failsEverywhere === true || this.step.failureEvidence?.failsEverywhere === true;
    }

    /** Whether a run of the task may be active on a worker. */
    get isActive(): boolean {
        return this.phase === TaskPhase.Ordered || this.phase === TaskPhase.Running
            || this.phase === TaskPhase.Stopping;
    }
}
