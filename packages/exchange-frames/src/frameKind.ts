/** What a frame between our own processes carries. */
export enum FrameKind {
    Hello = 1,
    Reply = 2,
    Failure = 3,
    ReserveRequest = 10,
    ReleaseRequest = 11,
    PullGrants = 12,
    ReadConfig = 13,
    ShareStatus = 14,
    ReadStatus = 15,
    FollowCoordinator = 20,
    AskPeer = 21,
    CallCoordinator = 22,
}
