/**
 * Rate limit for the pages of one VM that answer questions, whatever their topic: less than half of a link of 7 Mbit/s.
 * The rest is for callers, peers and the coordinator.
 */
const BYTES_PER_SECOND = 400_000;
/** Bytes that may be read ahead of the rate after a pause: half a second of such a link. */
const BURST_BYTES = 400_000;

/** Limits the rate at which several readers together read pages of the store. */
export class PageBudget {
    /** When the pages that were read are paid for, in steady milliseconds. */
    private paidAtMs = -Infinity;

    /** When the next page may be requested, in steady milliseconds. */
    get nextPageAtMs(): number {
        return this.paidAtMs - computeDuration(BURST_BYTES);
    }

    /**
     * Notes a page.
     *
     * @param sentAtMs When it was requested, in steady milliseconds.
     */
    notePage(bytes: number, sentAtMs: number): void {
        this.paidAtMs = Math.max(this.paidAtMs, sentAtMs) + computeDuration(bytes);
    }
}

function computeDuration(bytes: number): number {
    return bytes / BYTES_PER_SECOND * 1000;
}
