const MINUTE_MS = 60_000;

/** Limits the number of evictions in any minute, since mass evictions would themselves be an outage for batch work. */
export class EvictionBudget {
    private spentAtMs: number[] = [];

    constructor(private readonly perMinute: number) {}

    /** Number of evictions that are still allowed now. */
    getRemaining(nowMs: number): number {
        this.spentAtMs = this.spentAtMs.filter(atMs => nowMs - atMs < MINUTE_MS);
        return Math.max(0, this.perMinute - this.spentAtMs.length);
    }

    /** Counts an eviction. */
    recordEviction(nowMs: number): void {
        this.spentAtMs.push(nowMs);
    }
}
