/** What became of a reservation. */
export enum ReservationOutcome {
    Made = "made",
    /** A task of the step has started before the reservation lapsed. */
    Kept = "kept",
    /** The reservation has lapsed before there was room. */
    Missed = "missed",
    /** The worker gets no start now, or the step waits no more, or only for trusted workers. */
    Dropped = "dropped",
}
