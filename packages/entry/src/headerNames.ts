/** HTTP headers of requests and responses, in lower case as Node.js reports them. */
export const headerNames = {
    requestId: "x-request-id",
    idempotent: "x-idempotent",
    deadlineMs: "x-deadline-ms",
    urgency: "x-urgency",
    homeDomain: "x-home-domain",
    outcome: "x-outcome",
    reason: "x-reason",
    /** `true` in a 503 response of a target that refused the request without running it. */
    notRun: "x-not-run",
    /** The next three are sent only between entries: shared key, the caller's team, whether the id is reserved. */
    peerKey: "x-peer-key",
    forwardedTeam: "x-forwarded-team",
    reserved: "x-reserved",
};
