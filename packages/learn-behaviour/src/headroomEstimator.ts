import type { HeadroomState } from "./headroomState.js";
import { LinearEstimator } from "./linearEstimator.js";
import type { ServingMeasurement } from "./servingMeasurement.js";

/** Prior of the headroom that a neighbour takes if it uses a whole worker's CPU. */
const PRIOR_INTERFERENCE = { mean: 1.3, variance: 4 };
/**
 * Standard deviations added to an estimate of interference, so that few tasks with uncertain interference run beside
 * serving tasks at a time.
 */
const CAUTION_DEVIATIONS = 0.5;
/** The model of a serving image without measurements. */
const unknownImageModel = new LinearEstimator(PRIOR_INTERFERENCE);
/** Weight of the newest measurement in the moving average of an image's headroom. */
const USUAL_HEADROOM_RATE = 0.02;
/** Weight of a measurement below, and above, the tracked lowest headroom of an image. */
const LOWEST_FALL_RATE = 0.2;
const LOWEST_RISE_RATE = 0.002;

/**
 * Learns how much latency headroom tasks of one image take from serving tasks of another image.
 *
 * Headroom is the latency target divided by the tail latency. The latency of a queue grows without bound as its load
 * nears its capacity, while the inverse falls linearly, so the headroom taken by several neighbours adds up.
 * Interference differs by pair of images and shows only in lagging, noisy measurements of all neighbours together. Load
 * changes headroom more than most neighbours do, so only measurements under the same load are compared.
 */
export class HeadroomEstimator {
    private readonly models = new Map<string, LinearEstimator>();
    private readonly usual = new Map<string, number>();
    private readonly lowest = new Map<string, number>();

    /**
     * Learns from the difference of two measurements of serving tasks under the same load.
     *
     * @param image Image of the serving tasks.
     * @param measurement The measurement to explain by its neighbours.
     * @param reference The measurement to compare with.
     * @param noiseVariance Variance of the headroom difference that the neighbours don't explain.
     */
    learnDifference(
        image: string,
        measurement: ServingMeasurement,
        reference: ServingMeasurement,
        noiseVariance: number,
    ): void {
        const inputs = new Map<string, number>();
        for (const { image: other, weight } of measurement.neighbours) {
            inputs.set(other, (inputs.get(other) ?? 0) - weight);
        }
        for (const { image: other, weight } of reference.neighbours) {
            inputs.set(other, (inputs.get(other) ?? 0) + weight);
        }
        if (inputs.size === 0) {
            return;
        }
        this.getModel(image).learn(inputs, measurement.headroom - reference.headroom, noiseVariance);
    }

    /** Updates the usual and lowest headroom from the smoothed headroom of serving tasks without neighbours. */
    learnUsualHeadroom(image: string, headroom: number): void {
        const known = this.usual.get(image) ?? headroom;
        this.usual.set(image, known + (headroom - known) * USUAL_HEADROOM_RATE);
        const lowest = this.lowest.get(image) ?? headroom;
        this.lowest.set(
            image,
            lowest + (headroom - lowest) * (headroom < lowest ? LOWEST_FALL_RATE : LOWEST_RISE_RATE),
        );
    }

    /** Returns the average headroom of an image without neighbours; undefined while none was measured. */
    estimateUsualHeadroom(image: string): number | undefined {
        return this.usual.get(image);
    }

    /** Returns the headroom that an image without neighbours hardly ever falls below; 0 while none was measured. */
    estimateLowestHeadroom(image: string): number {
        return this.lowest.get(image) ?? 0;
    }

    /** Returns a cautious estimate of the headroom that a neighbour takes if it uses a whole worker's CPU. */
    estimateInterference(image: string, other: string): number {
        const model = this.models.get(image) ?? unknownImageModel;
        return Math.max(0, model.getCoefficient(other) + CAUTION_DEVIATIONS * model.getDeviation(other));
    }

    /** Returns the most headroom that any neighbour takes from a serving image; undefined while none is known. */
    estimateSensitivity(image: string): number | undefined {
        return this.models.get(image)?.findLargest();
    }

    /** Returns the most headroom that an image takes from any serving image; the prior mean while none is known. */
    estimateWorstInterference(other: string): number {
        const coefficients = [...this.models.values()].map(model => model.getCoefficient(other));
        return coefficients.length === 0 ? PRIOR_INTERFERENCE.mean : Math.max(0, ...coefficients);
    }

    /** Returns the learned state, from which another estimator continues. */
    describeState(): HeadroomState {
        const modelStates = [...this.models].map(([image, model]) => [image, model.describeState()] as const);
        return {
            harms: Object.fromEntries(modelStates),
            usual: Object.fromEntries(this.usual),
            lowest: Object.fromEntries(this.lowest),
        };
    }

    /** Continues from the learned state of another estimator. */
    restoreState(state: HeadroomState): void {
        Object.entries(state.harms).forEach(([image, modelState]) => this.getModel(image).restoreState(modelState));
        Object.entries(state.usual).forEach(([image, headroom]) => this.usual.set(image, headroom));
        Object.entries(state.lowest).forEach(([image, headroom]) => this.lowest.set(image, headroom));
    }

    private getModel(image: string): LinearEstimator {
        const model = this.models.get(image) ?? new LinearEstimator(PRIOR_INTERFERENCE);
        this.models.set(image, model);
        return model;
    }
}
