/**
 * Computes a percentile of measurements by the nearest-rank method.
 *
 * @param percentile Between 0 and 100.
 * @returns 0 if there are no measurements.
 */
export function computePercentile(values: readonly number[], percentile: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    const rank = Math.ceil(percentile / 100 * sorted.length);
    return sorted[Math.max(0, rank - 1)] ?? 0;
}
