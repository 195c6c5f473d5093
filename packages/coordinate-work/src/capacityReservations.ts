import type { StepRun, Task } from "@sardinestage/track-jobs";

/** Room that is made by stopping work comes free within this, in milliseconds: the stop, and the answer that tells of it. */
const RESERVATION_MS = 2000;

/** Room for one task. */
interface Reservation {
    readonly workerId: string;
    readonly untilMs: number;
}

/**
 * Remembers for whom room is being made, so that it goes to them. What was stopped waits for room itself, and being
 * smaller it would fit into each piece before there is enough for what it was stopped for.
 */
export class CapacityReservations {
    private readonly reservations = new WeakMap<StepRun, readonly Reservation[]>();

    /** Notes that room for one task of a step is made on a worker; there may be room for several of them there. */
    add(step: StepRun, workerId: string, nowMs: number): void {
        const valid = (this.reservations.get(step) ?? []).filter(({ untilMs }) => nowMs < untilMs);
        this.reservations.set(step, [...valid, { workerId, untilMs: nowMs + RESERVATION_MS }]);
    }

    /** Notes that a task has taken its place. */
    release(task: Task, workerId: string): void {
        const promises = this.reservations.get(task.step) ?? [];
        const taken = promises.findIndex(promise => promise.workerId === workerId);
        if (taken >= 0) {
            this.reservations.set(task.step, promises.filter((_promise, index) => index !== taken));
        }
    }

    /** Lists the workers on which room is made for a step, one entry a task. */
    list(step: StepRun, nowMs: number): readonly string[] {
        const promises = this.reservations.get(step) ?? [];
        return promises.filter(({ untilMs }) => nowMs < untilMs).map(({ workerId }) => workerId);
    }
}
