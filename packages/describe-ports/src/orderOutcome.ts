/** Outcome of an order to a worker. */
export enum OrderOutcome {
    Accepted,
    /** The worker has seen a higher fencing token, so a newer coordinator exists. */
    StaleFence,
    /** The worker has already had this run of the task, or one with a higher number. */
    RunEnded,
    /** The lease given in the order had expired when the order arrived. */
    LeaseOver,
    /** The worker lacks free capacity for the run. */
    NoRoom,
    /** The advice ticket is missing or has expired. */
    TicketInvalid,
    /** The worker is unhealthy; the order wasn't carried out. */
    Unhealthy,
    /** The worker couldn't decode the order, or doesn't support it. */
    Rejected,
    /** Another instance of the worker answered at this address. */
    OtherInstance,
    /** The worker didn't answer; the order may have been carried out, or may be later. */
    Unknown,
    /** The order wasn't sent, since the coordinator's authority has run out or the failure domain is evacuated. */
    Unsent,
}
