/** Weight of a figure's deviation in the level, and in its change a second. */
const LEVEL_RATE = 0.3;
const SLOPE_RATE = 0.2;
/** A figure that deviates by more is an outlier, in target over tail latency. */
const MOST_DEVIATION = 1;
/** Load doesn't change faster than this, in headroom a second. */
const MOST_SLOPE = 0.8;
/** A trend isn't followed further than this, in milliseconds. */
const MOST_AHEAD_MS = 1500;
const MS_PER_SECOND = 1000;

/**
 * Follows the headroom that replicas of one step have without neighbours: they share their load, so the figures of all
 * of them tell of each. Answers load that swings within seconds while figures come late and rough.
 */
export class HeadroomTrend {
    private level: number | undefined;
    private slope = 0;
    private atMs = 0;

    /**
     * Takes a replica's figure.
     *
     * @param headroom What it would be without neighbours.
     * @param weight 1 for a figure that needed no correction, less for others.
     * @param atMs Steady time.
     */
    takeFigure(headroom: number, weight: number, atMs: number): void {
        if (this.level === undefined) {
            this.level = headroom;
            this.atMs = atMs;
            return;
        }
        const expected = this.level + this.slope * (atMs - this.atMs) / MS_PER_SECOND;
        const deviation = computeLimited(headroom - expected, MOST_DEVIATION) * weight;
        this.level = expected + deviation * LEVEL_RATE;
        this.slope = computeLimited(this.slope + deviation * SLOPE_RATE, MOST_SLOPE);
        this.atMs = atMs;
    }

    /**
     * The headroom to be expected at a time; undefined before the first figure.
     *
     * @param lowest What it hardly ever goes below: a load that falls won't fall on for ever.
     */
    estimateHeadroom(atMs: number, lowest: number): number | undefined {
        if (this.level === undefined) {
            return undefined;
        }
        const aheadMs = Math.min(MOST_AHEAD_MS, Math.max(0, atMs - this.atMs));
        const expected = this.level + this.slope * aheadMs / MS_PER_SECOND;
        return Math.max(0, expected, Math.min(this.level, lowest));
    }

    /** How the headroom changes, a second. */
    get change(): number {
        return this.slope;
    }
}

function computeLimited(value: number, most: number): number {
    return Math.max(-most, Math.min(most, value));
}
