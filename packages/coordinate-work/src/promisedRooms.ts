import type { StepRun, Task } from "@sardinestage/track-jobs";

/** Room that is made by stopping work comes free within this, in milliseconds: the stop, and the answer that tells of it. */
const PROMISE_MS = 2000;

/** Room for one task. */
interface Promised {
    readonly workerId: string;
    readonly untilMs: number;
}

/**
 * Remembers for whom room is being made, so that it goes to them. What was stopped waits for room itself, and being
 * smaller it would fit into each piece before there is enough for what it was stopped for.
 */
export class PromisedRooms {
    private readonly promises = new WeakMap<StepRun, readonly Promised[]>();

    /** Notes that room for one task of a step is made on a worker; there may be room for several of them there. */
    note(step: StepRun, workerId: string, nowMs: number): void {
        const valid = (this.promises.get(step) ?? []).filter(({ untilMs }) => nowMs < untilMs);
        this.promises.set(step, [...valid, { workerId, untilMs: nowMs + PROMISE_MS }]);
    }

    /** Notes that a task has taken its place. */
    noteStart(task: Task, workerId: string): void {
        const promises = this.promises.get(task.step) ?? [];
        const taken = promises.findIndex(promise => promise.workerId === workerId);
        if (taken >= 0) {
            this.promises.set(task.step, promises.filter((_promise, index) => index !== taken));
        }
    }

    /** Lists the workers on which room is made for a step, one entry a task. */
    list(step: StepRun, nowMs: number): readonly string[] {
        const promises = this.promises.get(step) ?? [];
        return promises.filter(({ untilMs }) => nowMs < untilMs).map(({ workerId }) => workerId);
    }
}
