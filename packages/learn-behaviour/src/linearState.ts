/** The learned state of a `LinearEstimator` as plain data; the arrays have one entry per input, in the same order. */
export interface LinearState {
    readonly names: readonly string[];
    readonly coefficients: readonly number[];
    /** Variance of each coefficient. */
    readonly variances: readonly number[];
}
