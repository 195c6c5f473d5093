import type { StepSpec } from "@sardinestage/describe-work";
import type { Occurrence } from "./occurrence.js";
import { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/** A step in one occurrence of its job. */
export class StepRun {
    readonly tasks: readonly Task[];
    /** Numbers of the failed runs of a gang, which fails as a whole. */
    readonly gangFailedRuns = new Set<number>();
    private doneTasks = 0;
    private waitingTasks: number;

    constructor(readonly occurrence: Occurrence, readonly number: number, readonly spec: StepSpec) {
        this.tasks = Array.from({ length: spec.taskCount }, (_unused, index) => new Task(this, index));
        this.waitingTasks = spec.taskCount;
    }

    /** Whether all its tasks have ended well. */
    get isDone(): boolean {
        return this.doneTasks === this.tasks.length;
    }

    /** Whether the steps that it depends on are done. */
    get isReady(): boolean {
        return this.spec.dependsOn.every(earlier => this.occurrence.steps[earlier].isDone);
    }

    /** Whether any of its tasks waits for a worker. */
    get isWaiting(): boolean {
        return this.waitingTasks > 0;
    }

    /** Takes note that a task has come from one phase into another. */
    notePhase(before: TaskPhase, after: TaskPhase): void {
        this.doneTasks += Number(after === TaskPhase.Done) - Number(before === TaskPhase.Done);
        this.waitingTasks += Number(after === TaskPhase.Waiting) - Number(before === TaskPhase.Waiting);
        this.occurrence.job.noteTouched();
    }
}
