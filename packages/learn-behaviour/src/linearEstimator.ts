import type { LinearState } from "./linearState.js";

/** How fast old figures lose weight at each new one: harm changes within seconds to minutes. */
const FORGETTING = 0.9995;
/** What an input's row and its column are multiplied by, each. */
const FORGETTING_SCALE = 1 / Math.sqrt(FORGETTING);
/** Inputs that there is room for from the first on. */
const LEAST_STRIDE = 8;

/** What is known of a coefficient before the first figure. */
interface Prior {
    readonly mean: number;
    readonly variance: number;
}

/** Recursive least squares of a sum of named inputs, each times an unknown coefficient. */
export class LinearEstimator {
    private readonly indices = new Map<string, number>();
    private readonly coefficients: number[] = [];
    /** Row by row, with `stride` entries a row: only the first `coefficients.length` of them are in use. */
    private covariance = new Float64Array(0);
    private stride = 0;
    /** Scratch of `learn`, which runs for every figure of every serving task. */
    private gains = new Float64Array(0);
    private readonly seen: number[] = [];
    private readonly values: number[] = [];

    constructor(private readonly prior: Prior) {}

    /**
     * Takes an observed value of the sum.
     *
     * @param inputs By name; those that are missing are 0.
     * @param noiseVariance Variance of the observation that the inputs don't explain.
     */
    learn(inputs: ReadonlyMap<string, number>, observed: number, noiseVariance: number): void {
        this.takeInputs(inputs);
        const { coefficients, covariance, gains, seen, values, stride } = this;
        const size = coefficients.length;
        gains.fill(0);
        let variance = noiseVariance;
        let predicted = 0;
        for (let index = 0; index < seen.length; index++) {
            // A covariance is symmetric, so that a row is read for a column: its entries lie side by side.
            const start = seen[index] * stride;
            for (let row = 0; row < size; row++) {
                gains[row] += covariance[start + row] * values[index];
            }
        }
        for (let index = 0; index < seen.length; index++) {
            variance += gains[seen[index]] * values[index];
            predicted += coefficients[seen[index]] * values[index];
        }
        const error = observed - predicted;
        for (let row = 0; row < size; row++) {
            const share = gains[row] / variance;
            coefficients[row] += share * error;
            const start = row * stride;
            for (let column = 0; column < size; column++) {
                covariance[start + column] -= share * gains[column];
            }
        }
        this.dropCertainty();
    }

    /** The coefficient of an input; the prior's mean while nothing is known of it. */
    getCoefficient(name: string): number {
        const index = this.indices.get(name);
        return index === undefined ? this.prior.mean : this.coefficients[index];
    }

    /** The standard deviation of an input's coefficient. */
    getDeviation(name: string): number {
        const index = this.indices.get(name);
        return Math.sqrt(
            index === undefined ? this.prior.variance : Math.max(0, this.covariance[index * this.stride + index]),
        );
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
            variances: this.coefficients.map((_unused, index) => this.covariance[index * this.stride + index]),
        };
    }

    /** Goes on from what another estimator has learned. */
    restoreState(state: LinearState): void {
        state.names.forEach((name, row) => {
            this.addInput(name);
            const index = this.indices.get(name) ?? 0;
            this.coefficients[index] = state.coefficients[row];
            this.covariance[index * this.stride + index] = state.variances[row];
        });
    }

    /** Notes which inputs are there, by index; those that are 0 tell nothing. */
    private takeInputs(inputs: ReadonlyMap<string, number>): void {
        this.seen.length = 0;
        this.values.length = 0;
        for (const [name, value] of inputs) {
            const index = this.addInput(name);
            if (value !== 0) {
                this.seen.push(index);
                this.values.push(value);
            }
        }
    }

    /** Only inputs that were seen lose certainty, so that what isn't tried any more isn't forgotten. */
    private dropCertainty(): void {
        const { covariance, stride } = this;
        const size = this.coefficients.length;
        for (const index of this.seen) {
            if (covariance[index * stride + index] < this.prior.variance) {
                // Scaled from both sides alike: a covariance stays one.
                for (let other = 0; other < size; other++) {
                    covariance[index * stride + other] *= FORGETTING_SCALE;
                    covariance[other * stride + index] *= FORGETTING_SCALE;
                }
            }
        }
    }

    private addInput(name: string): number {
        const known = this.indices.get(name);
        if (known !== undefined) {
            return known;
        }
        const index = this.coefficients.length;
        this.indices.set(name, index);
        this.coefficients.push(this.prior.mean);
        if (index >= this.stride) {
            this.extendCovariance();
        }
        this.covariance[index * this.stride + index] = this.prior.variance;
        return index;
    }

    private extendCovariance(): void {
        const { covariance: before, stride: strideBefore } = this;
        this.stride = Math.max(LEAST_STRIDE, strideBefore * 2);
        this.gains = new Float64Array(this.stride);
        this.covariance = new Float64Array(this.stride * this.stride);
        for (let row = 0; row < strideBefore; row++) {
            this.covariance.set(before.subarray(row * strideBefore, (row + 1) * strideBefore), row * this.stride);
        }
    }
}
