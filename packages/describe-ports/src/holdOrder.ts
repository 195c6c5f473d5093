/** Extends a worker's lease, acknowledges ends and asks what runs. */
export interface HoldOrder {
    readonly fence: number;
    /** Ends up to this number are recorded and may be forgotten. */
    readonly lastSeen: number;
    /** Until when everything may run, on the worker's clock; undefined to leave the lease as it is. */
    readonly leaseUntilMs: number | undefined;
    /** How long the worker may wait for an end before it answers, in milliseconds. */
    readonly waitMs: number;
}
