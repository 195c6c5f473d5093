import type { LineFit } from "./lineFit.js";

/**
 * Fits a straight line by least squares.
 *
 * @param points Pairs of x and y, with at least two different x values.
 */
export function computeLineFit(points: readonly (readonly [number, number])[]): LineFit {
    const meanX = computeMean(points.map(([x]) => x));
    const meanY = computeMean(points.map(([, y]) => y));
    const sxx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const sxy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const syy = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
    const slope = sxy / sxx;
    return { slope, intercept: meanY - slope * meanX, r2: syy === 0 ? 1 : sxy ** 2 / (sxx * syy) };
}

function computeMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
