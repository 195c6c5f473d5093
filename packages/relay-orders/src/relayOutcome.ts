/** What a relay has done with the calls of a request. */
export enum RelayOutcome {
    /** The calls are made; their answers come with this or a later reply. */
    Accepted,
    /** A coordinator of a later term uses this relay, so no call was made. */
    StaleTerm,
    /** The request belongs to no open session or arrived too late, so no call was made. */
    Expired,
}
