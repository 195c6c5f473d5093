import type { StepRun, Task } from "@sardinestage/track-jobs";

/** Room that is made by stopping work comes free within this, in milliseconds: the stop, and the answer that tells of it. */
const PROMISE_MS = 2000;

/**
 * Remembers for whom room is being made, so that it goes to them. What was stopped waits for room itself, and being
 * smaller it would fit into each piece before there is enough for what it was stopped for.
 */
export class PromisedRooms {
    private readonly untilMs = new WeakMap<StepRun, Map<string, number>>();

    /** Notes that room for one task of a step is made on a worker. */
    note(step: StepRun, workerId: string, nowMs: number): void {
        const promises = this.untilMs.get(step) ?? new Map<string, number>();
        promises.set(workerId, nowMs + PROMISE_MS);
        this.untilMs.set(step, promises);
    }

    /** Notes that a task has taken its place. */
    noteStart(task: Task, workerId: string): void {
        this.untilMs.get(task.step)?.delete(workerId);
    }

    /** Lists the workers on which room is made for a step. */
    list(step: StepRun, nowMs: number): readonly string[] {
        const promises = [...this.untilMs.get(step) ?? []];
        return promises.filter(([, untilMs]) => nowMs < untilMs).map(([workerId]) => workerId);
    }
}
