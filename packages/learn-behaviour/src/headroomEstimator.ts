import type { HeadroomState } from "./headroomState.js";
import { LinearEstimator } from "./linearEstimator.js";
import type { ServingFigure } from "./servingFigure.js";

/** Headroom that an unknown neighbour is taken to cost if it used a whole worker's processor, and how unsure that is. */
const UNKNOWN_HARM = { mean: 1.3, variance: 4 };
/** How many standard deviations a harm is taken to be above its estimate: what is unsure is tried by few at a time. */
const CAUTION = 0.5;
/** Of an image of which nothing was learned. */
const unknownHarms = new LinearEstimator(UNKNOWN_HARM);
/** Weight of the newest figure in an image's usual headroom. */
const USUAL_RATE = 0.02;
/** Weight of a level below, and above, the lowest headroom that an image has. */
const LOWER_RATE = 0.2;
const HIGHER_RATE = 0.002;

/**
 * Learns how much tasks of one image take from the latency headroom of serving tasks of another. Headroom is the
 * target over the tail latency: a queue's latency grows without bound as its load nears what it can serve, while the
 * inverse falls in a straight line, so that the shares of several neighbours add up. Answers interference that differs
 * by pair and shows only in lagging, noisy figures of all neighbours together, under a load that swings more than most
 * neighbours harm: only figures under the same load are compared.
 */
export class HeadroomEstimator {
    private readonly models = new Map<string, LinearEstimator>();
    private readonly usual = new Map<string, number>();
    private readonly lowest = new Map<string, number>();

    /**
     * Compares two figures of serving tasks under the same load.
     *
     * @param image Of the serving tasks.
     * @param noiseVariance Variance of the difference that neighbours don't explain.
     */
    learnDifference(image: string, figure: ServingFigure, reference: ServingFigure, noiseVariance: number): void {
        const inputs = new Map<string, number>();
        for (const { image: other, weight } of figure.neighbours) {
            inputs.set(other, (inputs.get(other) ?? 0) - weight);
        }
        for (const { image: other, weight } of reference.neighbours) {
            inputs.set(other, (inputs.get(other) ?? 0) + weight);
        }
        if (inputs.size === 0) {
            return;
        }
        this.getModel(image).learn(inputs, figure.headroom - reference.headroom, noiseVariance);
    }

    /** Takes the smoothed headroom that serving tasks of an image have without neighbours. */
    learnUsual(image: string, headroom: number): void {
        const known = this.usual.get(image) ?? headroom;
        this.usual.set(image, known + (headroom - known) * USUAL_RATE);
        const lowest = this.lowest.get(image) ?? headroom;
        this.lowest.set(image, lowest + (headroom - lowest) * (headroom < lowest ? LOWER_RATE : HIGHER_RATE));
    }

    /** The usual headroom of an image without neighbours; undefined while nothing is known. */
    estimateUsual(image: string): number | undefined {
        return this.usual.get(image);
    }

    /** What the headroom of an image without neighbours hardly ever goes below; 0 while nothing is known. */
    estimateLowest(image: string): number {
        return this.lowest.get(image) ?? 0;
    }

    /** How much headroom a neighbour takes at most that uses a whole worker's processor; never negative. */
    estimateHarm(image: string, other: string): number {
        const model = this.models.get(image) ?? unknownHarms;
        return Math.max(0, model.getCoefficient(other) + CAUTION * model.getDeviation(other));
    }

    /** The most that any neighbour is known to take from a serving image; undefined while none is known. */
    estimateSensitivity(image: string): number | undefined {
        return this.models.get(image)?.findLargest();
    }

    /** The most that an image is known to take from any serving image; the usual harm while nothing is known. */
    estimateWorstHarm(other: string): number {
        const harms = [...this.models.values()].map(model => model.getCoefficient(other));
        return harms.length === 0 ? UNKNOWN_HARM.mean : Math.max(0, ...harms);
    }

    /** What was learned, for another estimator to go on with. */
    describeState(): HeadroomState {
        const harms = [...this.models].map(([image, model]) => [image, model.describeState()] as const);
        return {
            harms: Object.fromEntries(harms),
            usual: Object.fromEntries(this.usual),
            lowest: Object.fromEntries(this.lowest),
        };
    }

    /** Goes on from what another estimator has learned. */
    restoreState(state: HeadroomState): void {
        Object.entries(state.harms).forEach(([image, harms]) => this.getModel(image).restoreState(harms));
        Object.entries(state.usual).forEach(([image, headroom]) => this.usual.set(image, headroom));
        Object.entries(state.lowest).forEach(([image, headroom]) => this.lowest.set(image, headroom));
    }

    private getModel(image: string): LinearEstimator {
        const model = this.models.get(image) ?? new LinearEstimator(UNKNOWN_HARM);
        this.models.set(image, model);
        return model;
    }
}
