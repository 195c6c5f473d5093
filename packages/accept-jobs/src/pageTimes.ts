/** Bounds of the time after which a page is late, in milliseconds: some round trips, and half of a hurried caller's time. */
const LATE_AFTER = { leastMs: 100, mostMs: 500 };
/** A page is late when it takes so many times as long as the longest lately. */
const LATE_FACTOR = 3;
/** Part of the longest time that is kept with each further page. */
const KEPT_SHARE = 0.8;

/** Learns how long pages of the store take, which depends on the link and on their size, to tell when one is late. */
export class PageTimes {
    private longestMs: number | undefined;

    /** After what time a page is late, in milliseconds. */
    get lateAfterMs(): number {
        const { leastMs, mostMs } = LATE_AFTER;
        return this.longestMs === undefined
            ? mostMs
            : Math.min(mostMs, Math.max(leastMs, this.longestMs * LATE_FACTOR));
    }

    /** Notes how long a page took. */
    notePage(tookMs: number): void {
        this.longestMs = Math.max(tookMs, (this.longestMs ?? 0) * KEPT_SHARE);
    }
}
