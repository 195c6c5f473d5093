import type { Clock } from "@sardinestage/describe-ports";

/** A count may be this old when a caller gets it, in milliseconds. */
const MOST_AGE_MS = 2000;

/** Keeps the last counts of waiting jobs for as long as callers may be told them. */
export class PendingCounts {
    private readonly counts = new Map<string, { readonly pending: number; readonly asOfMs: number }>();

    constructor(private readonly clock: Clock) {}

    /** Keeps the count of a queue as of a steady time: when the coordinator was asked, not when it answered. */
    note(queue: string, pending: number, asOfMs: number): void {
        this.counts.set(queue, { pending, asOfMs });
    }

    /** A count that isn't too old. */
    find(queue: string): number | undefined {
        const known = this.counts.get(queue);
        return known !== undefined && this.clock.getNow() - known.asOfMs < MOST_AGE_MS ? known.pending : undefined;
    }
}
