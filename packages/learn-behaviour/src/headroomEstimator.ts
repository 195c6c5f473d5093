import { LinearEstimator } from "./linearEstimator.js";
import type { WeightedNeighbour } from "./weightedNeighbour.js";

/** Input of the headroom without neighbours. */
const ALONE = "";
/** More headroom than this says nothing more. */
const MOST_HEADROOM = 6;

/**
 * Learns how much tasks of one image take from the latency headroom of serving tasks of another. Headroom is the
 * target over the tail latency: a queue's latency grows without bound as its load nears what it can serve, while the
 * inverse falls in a straight line, so that the shares of several neighbours add up. Answers interference that differs
 * by pair and shows only in lagging, noisy figures of all neighbours together.
 */
export class HeadroomEstimator {
    private readonly models = new Map<string, LinearEstimator>();

    /**
     * Takes a measured headroom.
     *
     * @param image Of the serving task.
     * @param neighbours What worked beside it when it was measured.
     * @param headroom Its target over its tail latency.
     */
    learnHeadroom(image: string, neighbours: readonly WeightedNeighbour[], headroom: number): void {
        const model = this.models.get(image) ?? new LinearEstimator();
        this.models.set(image, model);
        const inputs = new Map<string, number>([[ALONE, 1]]);
        for (const { image: other, weight } of neighbours) {
            inputs.set(other, (inputs.get(other) ?? 0) - weight);
        }
        model.learn(inputs, Math.min(headroom, MOST_HEADROOM));
    }

    /** The usual headroom of an image without neighbours; undefined while nothing is known. */
    estimateAlone(image: string): number | undefined {
        return this.models.get(image)?.getCoefficient(ALONE);
    }

    /** How much headroom a neighbour takes that uses a whole worker's processor; never negative. */
    estimateHarm(image: string, other: string): number {
        return Math.max(0, this.models.get(image)?.getCoefficient(other) ?? 0);
    }

    /** The most that any neighbour is known to take from a serving image; undefined while none is known. */
    estimateSensitivity(image: string): number | undefined {
        return this.models.get(image)?.findLargest(ALONE);
    }

    /** The most that an image is known to take from any serving image. */
    estimateWorstHarm(other: string): number {
        return Math.max(0, ...[...this.models.values()].map(model => model.getCoefficient(other)));
    }
}
