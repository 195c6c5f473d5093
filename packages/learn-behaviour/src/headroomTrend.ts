/** Weight of a measurement's deviation in the level, and in the slope per second. */
const LEVEL_RATE = 0.3;
const SLOPE_RATE = 0.2;
/** Deviation of a measurement, in headroom, above which the excess is ignored as an outlier. */
const MAX_DEVIATION = 1;
/** Fastest plausible change of headroom by load, per second. */
const MAX_SLOPE = 0.8;
/** How far ahead a trend is extrapolated, in milliseconds. */
const MAX_EXTRAPOLATION_MS = 1500;
const MS_PER_SECOND = 1000;

/**
 * Tracks level and slope of the headroom that the replicas of one step have without neighbours. Replicas share their
 * load, so one trend serves all of them. It follows load that changes within seconds, though measurements are late and
 * noisy.
 */
export class HeadroomTrend {
    private level: number | undefined;
    private slope = 0;
    private atMs = 0;

    /**
     * Adds a replica's measurement.
     *
     * @param headroom Headroom of the replica, corrected to what it is without neighbours.
     * @param weight 1 for a measurement that needed no correction, less for a corrected one.
     * @param atMs Steady time.
     */
    addMeasurement(headroom: number, weight: number, atMs: number): void {
        if (this.level === undefined) {
            this.level = headroom;
            this.atMs = atMs;
            return;
        }
        const expected = this.level + this.slope * (atMs - this.atMs) / MS_PER_SECOND;
        const deviation = computeClamped(headroom - expected, MAX_DEVIATION) * weight;
        this.level = expected + deviation * LEVEL_RATE;
        this.slope = computeClamped(this.slope + deviation * SLOPE_RATE, MAX_SLOPE);
        this.atMs = atMs;
    }

    /**
     * Estimates the headroom at a time; undefined before the first measurement.
     *
     * @param lowest Headroom that is hardly ever undercut: falling headroom isn't extrapolated below it.
     */
    estimateHeadroom(atMs: number, lowest: number): number | undefined {
        if (this.level === undefined) {
            return undefined;
        }
        const aheadMs = Math.min(MAX_EXTRAPOLATION_MS, Math.max(0, atMs - this.atMs));
        const expected = this.level + this.slope * aheadMs / MS_PER_SECOND;
        return Math.max(0, expected, Math.min(this.level, lowest));
    }

    /** Change of the headroom per second. */
    get slopePerSecond(): number {
        return this.slope;
    }
}

function computeClamped(value: number, limit: number): number {
    return Math.max(-limit, Math.min(limit, value));
}
