import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

const WINDOW_ANSWERS = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
/** Below this many answers, the quantiles say too little. */
const NEEDED_ANSWERS = 50;

/** Answer times of one service over about the last thousand to two thousand answers. */
export class LatencyWindow {
    private current = createHistogram();
    private previous = createHistogram();

    /** Takes an answer time. */
    record(milliseconds: number): void {
        this.current.recordValue(Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)));
        if (this.current.totalCount >= WINDOW_ANSWERS) {
            this.previous = this.current;
            this.current = createHistogram();
        }
    }

    /** A percentile in milliseconds, or `undefined` while too little is known. */
    readPercentile(percentile: number): number | undefined {
        const known = this.current.totalCount >= NEEDED_ANSWERS ? this.current : this.previous;
        return known.totalCount < NEEDED_ANSWERS
            ? undefined
            : known.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    }
}

function createHistogram(): Histogram {
    return build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2, highestTrackableValue: 600_000_000 });
}
