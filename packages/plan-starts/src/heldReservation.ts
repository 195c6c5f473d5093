import type { Reservation } from "@sardinestage/plan-capacity";
import type { StepRun } from "@sardinestage/track-jobs";

/** Capacity on a worker that is reserved for one waiting task of a step. */
export interface HeldReservation extends Reservation {
    readonly step: StepRun;
    readonly workerId: string;
    /** When the task was expected to start as the reservation was made; `fromMs` moves on while there is no room. */
    readonly plannedMs: number;
    /** When the reservation is given up if the task hasn't started, in steady milliseconds. */
    readonly lapsesAtMs: number;
}
