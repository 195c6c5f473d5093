/** A worker's answer to an order. */
export enum OrderOutcome {
    Accepted,
    /** A coordinator with a higher fencing token has been seen. */
    StaleFence,
    /** That run, or a higher one, has been there before. */
    RunEnded,
    /** The order's lease had run out. */
    LeaseOver,
    /** The run doesn't fit. */
    NoRoom,
    /** The ticket is missing or over. */
    TicketInvalid,
    /** The worker is unhealthy; nothing was done. */
    Unhealthy,
    /** The worker couldn't read the order, or doesn't do it. */
    Rejected,
    /** Another life of the worker answers there. */
    OtherInstance,
    /** No answer: it may have been done, or may be done yet. */
    Unknown,
}
