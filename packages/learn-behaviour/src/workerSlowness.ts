/** Weight of a measurement halves in this time, in milliseconds: workers become slow and fast again within seconds. */
const HALF_LIFE_MS = 4000;
/** The assumption that a worker is as fast as others weighs as much as this many new measurements. */
const PRIOR_WEIGHT = 2;

/** Learns how much slower than expected a worker has run its recent tasks. */
export class WorkerSlowness {
    private weight = 0;
    private logSum = 0;
    private updatedAtMs = 0;

    /** Takes the ratio of a run's actual to its expected duration. */
    learnRatio(ratio: number, nowMs: number): void {
        const share = this.computeDecay(nowMs);
        this.weight = this.weight * share + 1;
        this.logSum = this.logSum * share + Math.log(Math.max(ratio, Number.MIN_VALUE));
        this.updatedAtMs = nowMs;
    }

    /** Estimates how many times as long as expected tasks take on the worker; 1 if nothing recent is known. */
    estimateSlowness(nowMs: number): number {
        const share = this.computeDecay(nowMs);
        return Math.exp(this.logSum * share / (this.weight * share + PRIOR_WEIGHT));
    }

    private computeDecay(nowMs: number): number {
        return 0.5 ** (Math.max(0, nowMs - this.updatedAtMs) / HALF_LIFE_MS);
    }
}
