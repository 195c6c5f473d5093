/** Fixed times and limits of a coordinator; those given from outside are in `CoordinatorRules`. */
export const limits = {
    /** Long-poll timeout of a lease renewal: a worker answers after this even if no run ends, in milliseconds. */
    longPollMs: 1000,
    /** The same for a worker with best-effort tasks beside serving tasks, whose load varies. */
    mixedLongPollMs: 400,
    /** The upper bounds of both timeouts while this process is short of CPU; well below `workerSilenceMs`. */
    busyLongPollMs: 1400,
    busyMixedLongPollMs: 1000,
    /** Longest pause from a report to the next lease renewal while this process is short of CPU, in milliseconds. */
    busyRenewalPauseMs: 200,
    /** An event loop with this usual delay counts as fully busy, in milliseconds. */
    busyLoopDelayMs: 100,
    /** Pause after a lease renewal without an answer, in milliseconds. */
    renewalRetryMs: 150,
    /** Pause between two calls to a worker while this coordinator may not renew its lease, in milliseconds. */
    unauthorizedPauseMs: 500,
    /** A worker silent for this long gets no new work, in milliseconds: the longest long poll and a round trip. */
    workerSilenceMs: 1800,
    /** After this many renewals without an answer, the worker's lease is left to expire. */
    maxMissedRenewals: 2,
    /**
     * A lease ends at most by its length and this much after the coordinator asked for the newest confirmation of its
     * authority, in milliseconds: the interval between two renewals of the term, and a slow answer. The next coordinator
     * counts on it.
     */
    leaseConfirmationMs: 600,
    /** Slowest rate of a worker's clock relative to the coordinator's. */
    slowestClockRate: 0.975,
    /** The next lease renewal waits at most this long for run ends to be recorded, in milliseconds. */
    endRecordWaitMs: 400,
    /** The same for a worker that is leaving, which may be gone before it is asked for its last ends. */
    leavingEndRecordWaitMs: 50,
    /** How often the shorter wait is used until the worker lists a new end. */
    leavingEndRecordWaits: 8,
    /** Maximum number of start calls under way to one worker. */
    maxConcurrentStarts: 6,
    /** Maximum number of stop calls under way to one worker: its connections also carry starts and paces. */
    maxConcurrentStops: 4,
    /** Longest time for sending start orders at a stretch, in milliseconds; far below the slack of lease renewals. */
    startBatchMs: 20,
    /** Minimum interval between two appends of progress, in milliseconds; bounds the rate of calls to the store. */
    flushIntervalMs: 20,
    /** The same while this process is short of processor. */
    busyFlushIntervalMs: 100,
    /** Lower bound of the timeout after which an append of progress is repeated, in milliseconds. */
    minFlushTimeoutMs: 120,
    /** Upper bound of the same timeout, in milliseconds. */
    maxFlushTimeoutMs: 1000,
    /** Pause before an append of progress that was refused, or whose answer says nothing, is repeated, in milliseconds. */
    flushRetryMs: 100,
    /** Size limit of one append of progress, in bytes; the last record may exceed the limit. */
    maxFlushBytes: 1_000_000,
    /** If no record could be written for this long, starts continue unrecorded, in milliseconds. */
    unrecordedAfterMs: 5000,
    /** Delay between an event and its planning round, in milliseconds; one round handles all events of this time. */
    roundDelayMs: 4,
    /** Interval between planning rounds without events, in milliseconds. */
    idleRoundMs: 250,
    /** Maximum share of the event loop's time for planning rounds; the rest is for leases, reports and callers. */
    maxRoundShare: 0.25,
    /** Maximum duration of a planning round as a share of a lease, so that no lease expires meanwhile. */
    maxRoundLeaseShare: 0.01,
    /**
     * Maximum number of starts that are planned in a round or wait to be sent. A start that waits longer would be
     * decided on outdated information.
     */
    maxStartsPerRound: 200,
} as const;
