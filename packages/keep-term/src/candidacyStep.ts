/** Next step of a process with regard to the coordinator. */
export enum CandidacyStep {
    /** Follow the coordinator: it works, or other processes can better determine whether it does. */
    Follow,
    /** Send calls through a peer: the coordinator is alive but unreachable from this process. */
    Relay,
    /** Campaign: try to win the next term. */
    Campaign,
}
