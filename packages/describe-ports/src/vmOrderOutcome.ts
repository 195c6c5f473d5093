/** Outcome of an order to the platform for a VM. */
export enum VmOrderOutcome {
    Accepted,
    /** The platform has seen a higher fencing token, so a newer coordinator exists. */
    StaleFence,
    /** The VM isn't up, or its worker is draining. */
    Busy,
    /** The platform doesn't know the VM, or doesn't know the wave for this VM. */
    Rejected,
    /** Too many calls; the order wasn't carried out. */
    Refused,
    /** The platform didn't answer; the order may have been carried out. */
    Unknown,
}
