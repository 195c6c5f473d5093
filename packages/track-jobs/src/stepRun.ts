import type { StepSpec } from "@sardinestage/describe-work";
import type { Occurrence } from "./occurrence.js";
import { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/** A step in one occurrence of its job. */
export class StepRun {
    readonly tasks: readonly Task[];
    /** Numbers of the failed runs of a gang, which fails as a whole. */
    readonly gangFailedRuns = new Set<number>();

    constructor(readonly occurrence: Occurrence, readonly number: number, readonly spec: StepSpec) {
        this.tasks = Array.from({ length: spec.taskCount }, (_unused, index) => new Task(this, index));
    }

    /** Whether all its tasks have ended well. */
    get isDone(): boolean {
        return this.tasks.every(task => task.phase === TaskPhase.Done);
    }

    /** Whether the steps that it depends on are done. */
    get isReady(): boolean {
        return this.spec.dependsOn.every(earlier => this.occurrence.steps[earlier].isDone);
    }
}
