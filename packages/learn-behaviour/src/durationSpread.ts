/** Buckets per doubling of the ratio. */
const BUCKETS_PER_DOUBLING = 2;
/** Index of the bucket of durations that are as expected; the lowest bucket is for a quarter of that and less. */
const CENTRE = 4;
/** The highest bucket is for 16 times the expected duration and more. */
const BUCKETS = 13;
/** Factor by which older durations lose weight at each new one: the last hundred or so count. */
const DECAY = 0.99;
/** With less weight than this in the histogram, nothing is estimated from it. */
const MIN_WEIGHT = 10;

/** Learns how far durations spread around what was expected: a decaying histogram of actual over expected durations. */
export class DurationSpread {
    private readonly weights: number[];

    /** @param weights Weights that another spread has described. */
    constructor(weights: readonly number[] = []) {
        this.weights = Array.from({ length: BUCKETS }, (_unused, index) => weights.at(index) ?? 0);
    }

    /** Adds the ratio of an actual to the expected duration. */
    learnRatio(ratio: number): void {
        const index = Math.round(Math.log2(Math.max(ratio, Number.MIN_VALUE)) * BUCKETS_PER_DOUBLING) + CENTRE;
        for (let each = 0; each < BUCKETS; each++) {
            this.weights[each] *= DECAY;
        }
        this.weights[Math.min(BUCKETS - 1, Math.max(0, index))] += 1;
    }

    /**
     * Estimates how long a run still takes that has taken some time, as ratios to the expected duration.
     *
     * @param elapsed Time taken so far; 0 for a run that begins.
     * @returns The mean over the known durations that are longer; `elapsed` once more if none is, since what has outlasted
     *   all others is likely to last as long again; undefined while too few durations are known.
     */
    estimateRemaining(elapsed: number): number | undefined {
        if (this.weights.reduce((sum, weight) => sum + weight, 0) < MIN_WEIGHT) {
            return undefined;
        }
        let weightSum = 0;
        let remainingSum = 0;
        this.weights.forEach((weight, index) => {
            const ratio = 2 ** ((index - CENTRE) / BUCKETS_PER_DOUBLING);
            if (ratio > elapsed) {
                weightSum += weight;
                remainingSum += weight * (ratio - elapsed);
            }
        });
        return weightSum > 0 ? remainingSum / weightSum : elapsed;
    }

    /** Describes the weights for storage, shortened to two decimals. */
    describeState(): readonly number[] {
        return this.weights.map(weight => Math.round(weight * 100) / 100);
    }
}
