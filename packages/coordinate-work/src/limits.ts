/** Times and limits of a coordinator that follow from its own way of working. */
export const limits = {
    /** How long a worker waits for an end before it answers a hold, in milliseconds: an idle worker's polling interval. */
    holdWaitMs: 1000,
    /** The same of a worker on which filling tasks work beside serving ones, whose load swings. */
    sharedHoldWaitMs: 400,
    /** The longest of either while this process is short of processor; well below `workerSilenceMs`. */
    busyHoldWaitMs: 1400,
    busySharedHoldWaitMs: 1000,
    /** The longest pause between an answer and the next hold while this process is short of processor. */
    busyHoldPauseMs: 200,
    /** A loop that is usually this late is fully busy, in milliseconds. */
    busyLoopDelayMs: 100,
    /** Pause after a hold without an answer, in milliseconds. */
    holdRetryMs: 150,
    /** A worker that hasn't answered for so long gets no new work, in milliseconds: a hold's wait and a round trip. */
    workerSilenceMs: 1800,
    /** Holds without an answer after which the lease is left to run out. */
    holdsBeforeLapse: 2,
    /** A worker's clock may be this much slower than ours. */
    slowestClock: 0.975,
    /** How long ends wait to be recorded before the worker is asked again, in milliseconds. */
    endRecordWaitMs: 400,
    /** How many starts are under way at one worker at once. */
    startsAtOnce: 6,
    /** Sending start orders takes no longer at once, in milliseconds: far less than what a lease leaves to its renewal. */
    startTurnMs: 20,
    /** Shortest time between two appends of progress, in milliseconds: bounds the calls to the store. */
    flushGapMs: 20,
    /** How long an append of progress may take at least and at most before it is repeated, in milliseconds. */
    flushLeastTimeoutMs: 120,
    flushTimeoutMs: 1000,
    /** Pause before an append of progress that was refused is repeated, in milliseconds. */
    flushRetryMs: 100,
    /** Bytes of records in one append of progress. */
    flushBytes: 1_000_000,
    /** Without a written record for so long, starts go on unrecorded, in milliseconds. */
    unrecordedAfterMs: 5000,
    /** Delay between an event and the planning round that answers it, in milliseconds: gathers what comes together. */
    roundDelayMs: 4,
    /** Time between rounds when nothing happens, in milliseconds. */
    idleRoundMs: 250,
    /** Planning rounds take at most this share of the loop; leases, answers and callers have the rest. */
    roundShare: 0.25,
    /** A planning round takes no longer than this share of a lease, so that none runs out meanwhile. */
    roundLeaseShare: 0.01,
    /** Starts in one round, together with those that wait to be sent: what is ordered too early is decided on too little. */
    startsARound: 200,
} as const;
