/** State of a VM according to the platform's list. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}
