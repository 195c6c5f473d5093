/** A percentile of measurements, by the nearest rank; 0 when there are none. */
export function computePercentile(values: readonly number[], percentile: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    const rank = Math.ceil(percentile / 100 * sorted.length);
    return sorted[Math.max(0, rank - 1)] ?? 0;
}
