/** How many times the usual answer time a caller waits before it takes an answer for lost. */
const PATIENCE = 5;
/** Weight of the newest answer time in the average. */
const NEWEST_WEIGHT = 0.2;

/** Bounds of a timeout, in milliseconds. */
interface TimeoutBounds {
    readonly leastMs: number;
    readonly mostMs: number;
}

/**
 * Learns how long to wait for an answer before the call, which may be repeated, is sent again. Answers stores that lose
 * answers, which need a short wait, and stores that are slow, which need a long one.
 */
export class AnswerTimeout {
    private usualMs = 0;
    private widened = 1;

    constructor(private readonly bounds: TimeoutBounds) {}

    /** How long to wait for the next answer, in milliseconds. */
    get currentMs(): number {
        const { leastMs, mostMs } = this.bounds;
        return Math.min(mostMs, Math.max(leastMs, this.usualMs * PATIENCE) * this.widened);
    }

    /**
     * Notes what became of a call.
     *
     * @param isAnswered Whether an answer came in time.
     * @param tookMs How long that took, in milliseconds.
     */
    noteOutcome(isAnswered: boolean, tookMs: number): void {
        if (isAnswered) {
            this.noteAnswer(tookMs);
        }
        else {
            this.noteSilence();
        }
    }

    /** Notes an answer; what was waited longer for than usual becomes usual soon. */
    noteAnswer(tookMs: number): void {
        this.usualMs = this.usualMs === 0 ? tookMs : this.usualMs + (tookMs - this.usualMs) * NEWEST_WEIGHT;
        this.widened = 1;
    }

    /** Notes that no answer came in time: the next wait is twice as long. */
    noteSilence(): void {
        this.widened = Math.min(this.widened * 2, this.bounds.mostMs / this.bounds.leastMs);
    }
}
