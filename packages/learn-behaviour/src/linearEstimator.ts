import type { LinearState } from "./linearState.js";

/** Factor by which old observations lose weight at each new one: interference changes within seconds to minutes. */
const FORGETTING_FACTOR = 0.9995;
/** Factor for an input's row and for its column, so that their product applies to its variance. */
const ROW_FORGETTING_SCALE = 1 / Math.sqrt(FORGETTING_FACTOR);
/** Initial number of inputs that the covariance matrix has space for. */
const MIN_STRIDE = 8;

/** Distribution of a coefficient before the first observation. */
interface Prior {
    readonly mean: number;
    readonly variance: number;
}

/** Recursive least squares with forgetting: learns the coefficients of a linear combination of named inputs. */
export class LinearEstimator {
    private readonly indices = new Map<string, number>();
    private readonly coefficients: number[] = [];
    /** Covariance matrix, row by row, with `stride` entries a row; the first `coefficients.length` of them are used. */
    private covariance = new Float64Array(0);
    private stride = 0;
    /** Buffers of `learn`, reused because it runs for every measurement of every serving task. */
    private gains = new Float64Array(0);
    private readonly activeIndices: number[] = [];
    private readonly activeValues: number[] = [];

    constructor(private readonly prior: Prior) {}

    /**
     * Learns from an observed value of the linear combination.
     *
     * @param inputs Inputs by name; missing ones are 0.
     * @param noiseVariance Variance of the observation that the inputs don't explain.
     */
    learn(inputs: ReadonlyMap<string, number>, observed: number, noiseVariance: number): void {
        this.collectInputs(inputs);
        const { coefficients, covariance, gains, activeIndices, activeValues, stride } = this;
        const size = coefficients.length;
        gains.fill(0);
        let variance = noiseVariance;
        let predicted = 0;
        for (let index = 0; index < activeIndices.length; index++) {
            // The covariance matrix is symmetric: a row is read instead of a column, as its entries are adjacent.
            const start = activeIndices[index] * stride;
            for (let row = 0; row < size; row++) {
                gains[row] += covariance[start + row] * activeValues[index];
            }
        }
        for (let index = 0; index < activeIndices.length; index++) {
            variance += gains[activeIndices[index]] * activeValues[index];
            predicted += coefficients[activeIndices[index]] * activeValues[index];
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
        this.applyForgetting();
    }

    /** Returns the coefficient of an input; the prior mean for an unknown input. */
    getCoefficient(name: string): number {
        const index = this.indices.get(name);
        return index === undefined ? this.prior.mean : this.coefficients[index];
    }

    /** Returns the standard deviation of an input's coefficient. */
    getDeviation(name: string): number {
        const index = this.indices.get(name);
        return Math.sqrt(
            index === undefined ? this.prior.variance : Math.max(0, this.covariance[index * this.stride + index]),
        );
    }

    /** Returns the largest coefficient of all inputs; undefined while there is none. */
    findLargest(): number | undefined {
        return this.coefficients.length === 0 ? undefined : Math.max(...this.coefficients);
    }

    /** Returns the learned state, from which another estimator continues; covariances of two inputs are left out. */
    describeState(): LinearState {
        return {
            names: [...this.indices.keys()],
            coefficients: [...this.coefficients],
            variances: this.coefficients.map((_unused, index) => this.covariance[index * this.stride + index]),
        };
    }

    /** Continues from the learned state of another estimator. */
    restoreState(state: LinearState): void {
        state.names.forEach((name, row) => {
            this.addInput(name);
            const index = this.indices.get(name) ?? 0;
            this.coefficients[index] = state.coefficients[row];
            this.covariance[index * this.stride + index] = state.variances[row];
        });
    }

    /** Adds unknown inputs and collects the index and value of those that aren't 0. */
    private collectInputs(inputs: ReadonlyMap<string, number>): void {
        this.activeIndices.length = 0;
        this.activeValues.length = 0;
        for (const [name, value] of inputs) {
            const index = this.addInput(name);
            if (value !== 0) {
                this.activeIndices.push(index);
                this.activeValues.push(value);
            }
        }
    }

    /** Increases the variance of the observed inputs only, so that inputs no longer observed aren't forgotten. */
    private applyForgetting(): void {
        const { covariance, stride } = this;
        const size = this.coefficients.length;
        for (const index of this.activeIndices) {
            if (covariance[index * stride + index] < this.prior.variance) {
                // Rows and columns are scaled alike, so that the matrix remains a valid covariance.
                for (let other = 0; other < size; other++) {
                    covariance[index * stride + other] *= ROW_FORGETTING_SCALE;
                    covariance[other * stride + index] *= ROW_FORGETTING_SCALE;
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
        this.stride = Math.max(MIN_STRIDE, strideBefore * 2);
        this.gains = new Float64Array(this.stride);
        this.covariance = new Float64Array(this.stride * this.stride);
        for (let row = 0; row < strideBefore; row++) {
            this.covariance.set(before.subarray(row * strideBefore, (row + 1) * strideBefore), row * this.stride);
        }
    }
}
