/** A straight line fitted to measurements by least squares. */
export interface LineFit {
    readonly intercept: number;
    readonly slope: number;
    /** Share of the variance that the line explains, 0 to 1. */
    readonly r2: number;
}
