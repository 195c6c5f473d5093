/** Multiple of the average answer time after which an answer counts as lost. */
const TIMEOUT_FACTOR = 5;
/** Weight of the newest answer time in the moving average. */
const NEWEST_WEIGHT = 0.2;

/** Bounds of a timeout, in milliseconds. */
interface TimeoutBounds {
    readonly leastMs: number;
    readonly mostMs: number;
}

/**
 * A timeout that adapts to the answer times of a service whose calls may be retried. It stays short for a store that
 * loses answers, so that calls are soon retried, and grows for a store that answers slowly.
 */
export class AdaptiveTimeout {
    private averageMs = 0;
    private backoffFactor = 1;

    constructor(private readonly bounds: TimeoutBounds) {}

    /** Timeout of the next call, in milliseconds. */
    get currentMs(): number {
        const { leastMs, mostMs } = this.bounds;
        return Math.min(mostMs, Math.max(leastMs, this.averageMs * TIMEOUT_FACTOR) * this.backoffFactor);
    }

    /**
     * Notes the outcome of a call.
     *
     * @param isAnswered Whether the call was answered before the timeout.
     * @param tookMs Duration of the call, in milliseconds.
     */
    noteOutcome(isAnswered: boolean, tookMs: number): void {
        if (isAnswered) {
            this.noteAnswer(tookMs);
        }
        else {
            this.noteTimeout();
        }
    }

    /** Notes an answer: resets the backoff and updates the average, so that slow answers soon lengthen the timeout. */
    noteAnswer(tookMs: number): void {
        this.averageMs = this.averageMs === 0 ? tookMs : this.averageMs + (tookMs - this.averageMs) * NEWEST_WEIGHT;
        this.backoffFactor = 1;
    }

    /** Notes a timeout: doubles the next timeout, up to the upper bound. */
    noteTimeout(): void {
        this.backoffFactor = Math.min(this.backoffFactor * 2, this.bounds.mostMs / this.bounds.leastMs);
    }
}
