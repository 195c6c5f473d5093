import type { Job } from "./job.js";
import { StepRun } from "./stepRun.js";

/** One repetition of a job's steps. */
export class Occurrence {
    readonly steps: readonly StepRun[];
    private startedTasks = 0;

    /**
     * @param job The job.
     * @param number Number of the repetition, from 0.
     * @param dueMs When the occurrence may start, in Unix milliseconds.
     */
    constructor(readonly job: Job, readonly number: number, readonly dueMs: number) {
        this.steps = job.spec.steps.map((spec, index) => new StepRun(this, index, spec));
    }

    /** Whether any task of the occurrence has had a run. */
    get isStarted(): boolean {
        return this.startedTasks > 0;
    }

    /** Whether all steps of the occurrence are done. */
    get isDone(): boolean {
        return this.steps.every(step => step.isDone);
    }

    /** Adds `change`, which may be negative, to the number of tasks that have had a run. */
    noteStarted(change: number): void {
        this.startedTasks += change;
    }
}
