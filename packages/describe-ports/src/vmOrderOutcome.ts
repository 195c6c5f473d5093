/** The platform's answer to an order for a VM. */
export enum VmOrderOutcome {
    Accepted,
    StaleFence,
    /** The VM isn't up, or its worker leaves. */
    Busy,
    /** The VM or the wave isn't known so. */
    Rejected,
    /** Too many calls; nothing was done. */
    Refused,
    /** No answer: it may have been done. */
    Unknown,
}
