const MINUTE_MS = 60_000;

/** Bounds evictions over any minute: a storm of them is a failure of its own. */
export class EvictionBudget {
    private spentAtMs: number[] = [];

    constructor(private readonly perMinute: number) {}

    /** How many evictions are allowed now. */
    getLeft(nowMs: number): number {
        this.spentAtMs = this.spentAtMs.filter(atMs => nowMs - atMs < MINUTE_MS);
        return Math.max(0, this.perMinute - this.spentAtMs.length);
    }

    /** Counts an eviction. */
    recordEviction(nowMs: number): void {
        this.spentAtMs.push(nowMs);
    }
}
