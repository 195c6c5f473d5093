import type { StepSpec } from "@sardinestage/describe-work";
import type { Occurrence } from "./occurrence.js";
import { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/** A step in one occurrence of a job, with its tasks. */
export class StepRun {
    readonly tasks: readonly Task[];
    /** Numbers of the failed runs of a gang; a run of a gang fails as a whole. */
    readonly gangFailedRuns = new Set<number>();
    private doneTasks = 0;
    private waitingTasks: number;

    constructor(readonly occurrence: Occurrence, readonly number: number, readonly spec: StepSpec) {
        this.tasks = Array.from({ length: spec.taskCount }, (_unused, index) => new Task(this, index));
        this.waitingTasks = spec.taskCount;
    }

    /** Whether all tasks of the step are done. */
    get isDone(): boolean {
        return this.doneTasks === this.tasks.length;
    }

    /** Whether all steps that this step depends on are done. */
    get isReady(): boolean {
        return this.spec.dependsOn.every(earlier => this.occurrence.steps[earlier].isDone);
    }

    /** Whether any task of the step waits for a worker. */
    get isWaiting(): boolean {
        return this.waitingTasks > 0;
    }

    /** Updates the counters for a task that has changed its phase, and notifies the job's watcher. */
    notePhase(before: TaskPhase, after: TaskPhase): void {
        this.doneTasks += Number(after === TaskPhase.Done) - Number(before === TaskPhase.Done);
        this.waitingTasks += Number(after === TaskPhase.Waiting) - Number(before === TaskPhase.Waiting);
        this.occurrence.job.noteChanged();
    }
}
