/** State of the coordinator as one process observes it. */
export interface CoordinatorView {
    /** Whether any coordinator is known. */
    readonly isKnown: boolean;
    /** Time since the coordinator last answered this process, in milliseconds. */
    readonly silentMs: number;
    /**
     * Whether the coordinator's process has probably ended: a connection to it was refused, which a cut can do too, or
     * another process answers at its address.
     */
    readonly isConnectionRefused: boolean;
    /** Whether the coordinator has announced that it is about to stop. */
    readonly isLeaving: boolean;
    /**
     * How long the coordinator's calls to the store have failed, in milliseconds. Answers that the coordinator is only
     * slow to process don't count as failed.
     */
    readonly storeSilentMs: number;
    /** Whether the store answers this process. */
    readonly isStoreAvailable: boolean;
    /** Number of known peers that were asked about the coordinator; the coordinator itself isn't one of them. */
    readonly peers: number;
    /** Number of these peers that answered. */
    readonly peersAnswered: number;
    /** Whether a peer got an answer from the coordinator recently. */
    readonly isReachableByPeer: boolean;
    /** Age of the coordinator's newest renewal seen in the store, in milliseconds. */
    readonly renewalAgeMs: number;
    /** Number of VMs that followed the coordinator, according to that renewal. */
    readonly followers: number;
    /** Number of members that this process knows. */
    readonly members: number;
    /**
     * Time since the coordinator took over the term, or since a process on a weaker VM that has seen no takeover learnt of
     * the term, in milliseconds; infinite if this process saw no takeover and its VM isn't weaker.
     */
    readonly termAgeMs: number;
}
