import type { Clock } from "@sardinestage/describe-ports";

/** Maximum age of a count that a caller gets, in milliseconds. */
const MAX_AGE_MS = 2000;

/** Caches the last count of waiting jobs of each queue for a short time. */
export class PendingCountCache {
    private readonly counts = new Map<string, { readonly pending: number; readonly asOfMs: number }>();

    constructor(private readonly clock: Clock) {}

    /**
     * Caches the count of a queue.
     *
     * @param asOfMs When the coordinator was asked, not when it answered, in steady milliseconds.
     */
    note(queue: string, pending: number, asOfMs: number): void {
        this.counts.set(queue, { pending, asOfMs });
    }

    /** Returns the count of a queue; undefined if there is none or it is too old. */
    find(queue: string): number | undefined {
        const known = this.counts.get(queue);
        return known !== undefined && this.clock.getNow() - known.asOfMs < MAX_AGE_MS ? known.pending : undefined;
    }
}
