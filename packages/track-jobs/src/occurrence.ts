import type { Job } from "./job.js";
import { StepRun } from "./stepRun.js";

/** One repetition of a job's steps. */
export class Occurrence {
    readonly steps: readonly StepRun[];
    private startedTasks = 0;

    /**
     * @param job The job.
     * @param number Which repetition, from 0.
     * @param dueMs When it may begin, in Unix milliseconds.
     */
    constructor(readonly job: Job, readonly number: number, readonly dueMs: number) {
        this.steps = job.spec.steps.map((spec, index) => new StepRun(this, index, spec));
    }

    /** Whether any of its tasks has run. */
    get isStarted(): boolean {
        return this.startedTasks > 0;
    }

    /** Whether all its steps are done. */
    get isDone(): boolean {
        return this.steps.every(step => step.isDone);
    }

    /** Takes note of how many more of its tasks have run. */
    noteStarted(tasks: number): void {
        this.startedTasks += tasks;
    }
}
