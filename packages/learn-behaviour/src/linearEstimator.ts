import type { LinearState } from "./linearState.js";

/** How fast old figures lose weight at each new one: harm changes within seconds to minutes. */
const FORGETTING = 0.9995;

/** What is known of a coefficient before the first figure. */
interface Prior {
    readonly mean: number;
    readonly variance: number;
}

/** Recursive least squares of a sum of named inputs, each times an unknown coefficient. */
export class LinearEstimator {
    private readonly indices = new Map<string, number>();
    private readonly coefficients: number[] = [];
    private readonly covariance: number[][] = [];

    constructor(private readonly prior: Prior) {}

    /**
     * Takes an observed value of the sum.
     *
     * @param inputs By name; those that are missing are 0.
     * @param noiseVariance Variance of the observation that the inputs don't explain.
     */
    learn(inputs: ReadonlyMap<string, number>, observed: number, noiseVariance: number): void {
        for (const name of inputs.keys()) {
            this.addInput(name);
        }
        const size = this.coefficients.length;
        const values = new Array<number>(size).fill(0);
        inputs.forEach((value, name) => values[this.indices.get(name) ?? 0] = value);
        const gains = this.covariance.map(row => row.reduce((sum, entry, column) => sum + entry * values[column], 0));
        const variance = gains.reduce((sum, gain, index) => sum + gain * values[index], noiseVariance);
        const predicted = this.coefficients.reduce((sum, entry, index) => sum + entry * values[index], 0);
        const error = observed - predicted;
        for (let row = 0; row < size; row++) {
            this.coefficients[row] += gains[row] * error / variance;
            for (let column = 0; column < size; column++) {
                this.covariance[row][column] -= gains[row] * gains[column] / variance;
            }
        }
        this.dropCertainty(values);
    }

    /** The coefficient of an input; the prior's mean while nothing is known of it. */
    getCoefficient(name: string): number {
        const index = this.indices.get(name);
        return index === undefined ? this.prior.mean : this.coefficients[index];
    }

    /** The standard deviation of an input's coefficient. */
    getDeviation(name: string): number {
        const index = this.indices.get(name);
        return Math.sqrt(index === undefined ? this.prior.variance : Math.max(0, this.covariance[index][index]));
    }

    /** The largest coefficient of all inputs; undefined while there is none. */
    findLargest(): number | undefined {
        return this.coefficients.length === 0 ? undefined : Math.max(...this.coefficients);
    }

    /** What was learned, for another estimator to go on with. */
    describeState(): LinearState {
        return {
            names: [...this.indices.keys()],
            coefficients: [...this.coefficients],
            variances: this.covariance.map((row, index) => row[index]),
        };
    }

    /** Goes on from what another estimator has learned. */
    restoreState(state: LinearState): void {
        state.names.forEach((name, row) => {
            this.addInput(name);
            const index = this.indices.get(name) ?? 0;
            this.coefficients[index] = state.coefficients[row];
            this.covariance[index][index] = state.variances[row];
        });
    }

    /** Only inputs that were seen lose certainty, so that what isn't tried any more isn't forgotten. */
    private dropCertainty(values: readonly number[]): void {
        // Scaled from both sides alike: a covariance stays one.
        const scales = values.map((value, index) =>
            value !== 0 && this.covariance[index][index] < this.prior.variance ? 1 / Math.sqrt(FORGETTING) : 1
        );
        for (let row = 0; row < values.length; row++) {
            for (let column = 0; column < values.length; column++) {
                this.covariance[row][column] *= scales[row] * scales[column];
            }
        }
    }

    private addInput(name: string): void {
        if (this.indices.has(name)) {
            return;
        }
        this.indices.set(name, this.coefficients.length);
        this.coefficients.push(this.prior.mean);
        this.covariance.forEach(row => row.push(0));
        const size = this.coefficients.length;
        this.covariance.push(new Array<number>(size).fill(0));
        this.covariance[size - 1][size - 1] = this.prior.variance;
    }
}
