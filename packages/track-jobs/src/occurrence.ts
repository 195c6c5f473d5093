import { IndexRanges } from "./indexRanges.js";
import type { Job } from "./job.js";
import type { ReadyStepList } from "./readyStepList.js";
import { StepRun } from "./stepRun.js";

/**
 * One repetition of a job's steps. A step is an object only while it is of use: a job may have far more steps than can
 * run at once, and those that nothing has become of yet, and those of a partitioned job that are done, are only counted.
 */
export class Occurrence {
    /** The steps that exist as objects, by their numbers. */
    private readonly known: (StepRun | undefined)[];
    /** Numbers of the done steps that are only counted. */
    private readonly forgotten = new IndexRanges();
    private doneSteps = 0;
    private startedTasks = 0;

    /**
     * @param job The job.
     * @param number Number of the repetition, from 0.
     * @param dueMs When the occurrence may start, in Unix milliseconds.
     */
    constructor(readonly job: Job, readonly number: number, readonly dueMs: number) {
        this.known = Array.from({ length: job.spec.steps.length }, () => undefined);
    }

    /** All steps, as objects. Only for short jobs. */
    get steps(): readonly StepRun[] {
        return this.job.spec.steps.map((_unused, number) => this.getStep(number));
    }

    /** Whether the job has a step of this number. */
    hasStep(number: number): boolean {
        return Number.isSafeInteger(number) && number >= 0 && number < this.known.length;
    }

    /**
     * Returns a step. The result for a forgotten step is a copy that says only that the step is done.
     *
     * @throws If the job has no such step.
     */
    getStep(number: number): StepRun {
        const known = this.known[number];
        if (known !== undefined) {
            return known;
        }
        if (!this.hasStep(number)) {
            throw new RangeError(`The job has no step ${number}.`);
        }
        if (this.forgotten.has(number)) {
            return StepRun.createForgotten(this, number);
        }
        const step = new StepRun(this, number, this.job.spec.steps[number]);
        this.known[number] = step;
        return step;
    }

    /** Finds a step that exists as an object; undefined for one that nothing has become of, or that is forgotten. */
    findKnownStep(number: number): StepRun | undefined {
        return this.known[number];
    }

    /** Lists the steps that exist as objects, in the order of their numbers: among others all that have active tasks. */
    *listKnownSteps(): Iterable<StepRun> {
        for (const step of this.known) {
            if (step !== undefined) {
                yield step;
            }
        }
    }

    /** Whether all tasks of a step are done. */
    isStepDone(number: number): boolean {
        const known = this.known[number];
        return known === undefined ? this.forgotten.has(number) : known.isDone;
    }

    /** Whether all steps that a step depends on are done. */
    isStepReady(number: number): boolean {
        return this.job.spec.steps[number].dependsOn.every(earlier => this.isStepDone(earlier));
    }

    /**
     * Lists steps that are ready and have waiting tasks, in the order of their numbers, and from the first one on again
     * after the last.
     *
     * @param maxCount The most steps to list.
     * @param from Number of the first step to consider.
     */
    listReadySteps(maxCount: number, from = 0): ReadyStepList {
        const steps: StepRun[] = [];
        const count = this.known.length;
        for (let position = 0; position < count; position++) {
            const number = (from + position) % count;
            const isWaiting = this.known[number]?.isWaiting ?? !this.forgotten.has(number);
            if (isWaiting && this.isStepReady(number)) {
                if (steps.length >= maxCount) {
                    return { steps, next: number };
                }
                steps.push(this.getStep(number));
            }
        }
        return { steps };
    }

    /** Whether any task of the occurrence has had a run. */
    get isStarted(): boolean {
        return this.startedTasks > 0;
    }

    /** Whether all steps of the occurrence are done. */
    get isDone(): boolean {
        return this.doneSteps === this.known.length;
    }

    /** Adds `change`, which may be negative, to the number of tasks that have had a run. */
    noteStarted(change: number): void {
        this.startedTasks += change;
    }

    /** Adds `change`, which may be negative, to the number of steps that are done. */
    noteStepDone(change: number): void {
        this.doneSteps += change;
    }

    /** Forgets a done step, of which no object is needed any more. */
    dropStep(number: number): void {
        this.known[number] = undefined;
        this.forgotten.add(number);
    }
}
