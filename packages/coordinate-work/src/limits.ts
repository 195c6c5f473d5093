/** How long a worker waits for an end before it answers a hold, in milliseconds: an idle worker's polling interval. */
export const HOLD_WAIT_MS = 1000;
/** Pause after a hold without an answer, in milliseconds. */
export const HOLD_RETRY_MS = 150;
/** A worker that hasn't answered for so long gets no new work, in milliseconds: a hold's wait and a round trip. */
export const WORKER_SILENCE_MS = 1800;
/** Holds without an answer after which the lease is left to run out. */
export const HOLDS_BEFORE_LAPSE = 2;
/** A worker's clock may be this much slower than ours. */
export const SLOWEST_CLOCK = 0.975;
/** How long ends wait to be recorded before the worker is asked again, in milliseconds. */
export const END_RECORD_WAIT_MS = 400;
/** How many starts are under way at one worker at once. */
export const STARTS_AT_ONCE = 6;
/** Shortest time between two appends of progress, in milliseconds: bounds the calls to the store. */
export const FLUSH_GAP_MS = 20;
/** How long an append of progress may take, in milliseconds. */
export const FLUSH_TIMEOUT_MS = 1000;
/** Pause before an append of progress is repeated, in milliseconds. */
export const FLUSH_RETRY_MS = 100;
/** Bytes of records in one append of progress. */
export const FLUSH_BYTES = 1_000_000;
/** Without a written record for so long, starts go on unrecorded, in milliseconds. */
export const UNRECORDED_AFTER_MS = 5000;
/** Delay between an event and the planning round that answers it, in milliseconds: gathers what comes together. */
export const ROUND_DELAY_MS = 4;
/** Time between rounds when nothing happens, in milliseconds. */
export const IDLE_ROUND_MS = 250;
/** Starts in one round. */
export const STARTS_A_ROUND = 200;
