/**
 * How long an authority lasts, in milliseconds. All VMs of an installation have to use the same times: a coordinator
 * counts on the promises of others, and its successor waits for the end of its authority.
 */
export const authorityTimes = {
    /** A coordinator may act for this long after it asked the store whether its term is the newest, and it was. */
    confirmedMs: 1400,
    /** A coordinator may act for this long after it asked the other VMs for their promise, and all gave it. */
    promisedMs: 1000,
    /** A VM keeps a promise for this long. More than `promisedMs`, since clocks run at different rates. */
    promiseKeptMs: 1200,
    /** A successor waits this much longer than `confirmedMs`, since clocks run at different rates. */
    marginMs: 50,
    /** VMs that followed the coordinator within this time before the store was lost have to promise. */
    followedWithinMs: 15_000,
} as const;
