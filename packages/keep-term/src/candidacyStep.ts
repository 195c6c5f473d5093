/** What a process does about the coordinator. */
export enum CandidacyStep {
    /** The coordinator is well, or somebody else is better placed to find out. */
    Follow,
    /** The coordinator lives but can't be reached from here: speak to it through a peer. */
    Relay,
    /** Try to win the next term. */
    Stand,
}
