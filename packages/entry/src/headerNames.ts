/** Headers of requests and answers; all in lower case, as Node gives them. */
export const headerNames = {
    requestId: "x-request-id",
    idempotent: "x-idempotent",
    deadlineMs: "x-deadline-ms",
    urgency: "x-urgency",
    homeDomain: "x-home-domain",
    outcome: "x-outcome",
    reason: "x-reason",
    /** Set by a target that refused without running the request. */
    notRun: "x-not-run",
    /** Between entries: the shared key, the caller's team, and whether the id is reserved already. */
    peerKey: "x-peer-key",
    forwardedTeam: "x-forwarded-team",
    reserved: "x-reserved",
};
