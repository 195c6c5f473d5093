/**
 * Bounds of the time after which a page counts as late, in milliseconds: at least a few round trips, at most half the
 * timeout of a caller with little time.
 */
const LATE_AFTER_BOUNDS = { leastMs: 100, mostMs: 500 };
/** A page counts as late when it takes this many times as long as the slowest recent page. */
const LATE_FACTOR = 3;
/** Factor by which the remembered time of the slowest page shrinks with each further page. */
const DECAY_PER_PAGE = 0.8;

/** Tracks how long pages of the store take, which depends on the network and on their size, to detect a late page. */
export class PageTimeTracker {
    private longestMs: number | undefined;

    /** Time after which a page counts as late, in milliseconds. */
    get lateAfterMs(): number {
        const { leastMs, mostMs } = LATE_AFTER_BOUNDS;
        return this.longestMs === undefined
            ? mostMs
            : Math.min(mostMs, Math.max(leastMs, this.longestMs * LATE_FACTOR));
    }

    /** Notes how long a page took. */
    notePage(tookMs: number): void {
        this.longestMs = Math.max(tookMs, (this.longestMs ?? 0) * DECAY_PER_PAGE);
    }
}
