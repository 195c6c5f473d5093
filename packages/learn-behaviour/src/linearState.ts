/** What a linear estimator has learned, as plain data: one row an input. */
export interface LinearState {
    readonly names: readonly string[];
    readonly coefficients: readonly number[];
    /** How unsure each coefficient is. */
    readonly variances: readonly number[];
}
