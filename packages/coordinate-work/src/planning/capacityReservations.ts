import type { StepRun, Task } from "@sardinestage/track-jobs";

/**
 * Capacity is free within this time after tasks are preempted, in milliseconds: the stop, and the report of the end.
 */
const RESERVATION_MS = 2000;

/** Capacity on a worker that is reserved for one task. */
interface Reservation {
    readonly workerId: string;
    readonly untilMs: number;
}

/**
 * Reserves the capacity that preemption frees for the steps that it is freed for. The preempted tasks wait for capacity
 * too: being smaller, they would otherwise fit into each freed part before there is enough for the larger task.
 */
export class CapacityReservations {
    private readonly reservations = new WeakMap<StepRun, readonly Reservation[]>();

    /** Reserves capacity for one task of a step on a worker, in addition to earlier reservations. */
    add(step: StepRun, workerId: string, nowMs: number): void {
        const valid = (this.reservations.get(step) ?? []).filter(({ untilMs }) => nowMs < untilMs);
        this.reservations.set(step, [...valid, { workerId, untilMs: nowMs + RESERVATION_MS }]);
    }

    /**
     * Releases a reservation on a worker, if the task's step has one there, because the task has been started there.
     */
    release(task: Task, workerId: string): void {
        const reservations = this.reservations.get(task.step) ?? [];
        const released = reservations.findIndex(reservation => reservation.workerId === workerId);
        if (released >= 0) {
            this.reservations.set(task.step, reservations.filter((_reservation, index) => index !== released));
        }
    }

    /** Lists the workers with capacity reserved for a step, one entry a task. */
    list(step: StepRun, nowMs: number): readonly string[] {
        const reservations = this.reservations.get(step) ?? [];
        return reservations.filter(({ untilMs }) => nowMs < untilMs).map(({ workerId }) => workerId);
    }
}
