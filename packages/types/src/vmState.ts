/** What the platform's list says of a VM. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}
