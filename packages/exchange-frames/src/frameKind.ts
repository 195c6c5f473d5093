/** Kind of message that a frame carries. */
export enum FrameKind {
    /** First frame of a connection; carries the shared key. */
    Hello = 1,
    /** Successful answer to a request. */
    Reply = 2,
    /** Failed request; the body is the error message. */
    Failure = 3,
    /** Asks an entry to remember the id of a non-idempotent request. */
    ReserveRequest = 10,
    /** Asks an entry to drop the id of a request that certainly did not run. */
    ReleaseRequest = 11,
    /** An entry asks a scheduler for grants. */
    PullGrants = 12,
    /** Asks an entry or a scheduler for the configuration. */
    ReadConfig = 13,
    /** A scheduler sends its status to another scheduler. */
    ShareStatus = 14,
    /** Asks an entry or a scheduler for its status. */
    ReadStatus = 15,
    /** An entry VM reports its membership to the coordinator. */
    FollowCoordinator = 20,
    /** Asks an entry VM for its view of the coordinator. */
    AskPeer = 21,
    /** Calls an operation of the coordinator. */
    CallCoordinator = 22,
    /** The coordinator has an entry VM make calls to workers. */
    RelayOrders = 23,
}
