import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

/** Latencies recorded in a histogram before a new one is started. */
const WINDOW_SIZE = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
/** With fewer latencies than this, percentiles are not reliable. */
const MIN_ANSWERS = 50;

/**
 * Latencies of one service. Percentiles are read from the current histogram of up to 1,000 latencies, or from the
 * previous one while the current one has too few.
 */
export class LatencyWindow {
    private current = createHistogram();
    private previous = createHistogram();

    /** Records the latency of an answer, in milliseconds. */
    record(milliseconds: number): void {
        this.current.recordValue(Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)));
        if (this.current.totalCount >= WINDOW_SIZE) {
            this.previous = this.current;
            this.current = createHistogram();
        }
    }

    /** Returns a percentile in milliseconds, or `undefined` while there are too few latencies. */
    readPercentile(percentile: number): number | undefined {
        const known = this.current.totalCount >= MIN_ANSWERS ? this.current : this.previous;
        return known.totalCount < MIN_ANSWERS
            ? undefined
            : known.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    }
}

function createHistogram(): Histogram {
    return build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2, highestTrackableValue: 600_000_000 });
}
