import { LinearEstimator } from "./linearEstimator.js";
import type { WeightedNeighbour } from "./weightedNeighbour.js";

/** Input of the tail without neighbours. */
const ALONE = "";
/** A tail above this many milliseconds says no more than one of so many. */
const MOST_TAIL_MS = 400;

/**
 * Learns how much tasks of one image raise the tail latency of serving tasks of another, from lagging and noisy
 * figures: the tail is taken as the tail alone plus, for each neighbour, its share of the worker's processor times the
 * harm of the pair. Answers interference that differs by pair and shows only in figures of them all together.
 */
export class TailEstimator {
    private readonly models = new Map<string, LinearEstimator>();

    /**
     * Takes a measured tail.
     *
     * @param image Of the serving task.
     * @param neighbours What worked beside it when it was measured.
     * @param tailMs Its tail latency.
     */
    learnTail(image: string, neighbours: readonly WeightedNeighbour[], tailMs: number): void {
        const model = this.models.get(image) ?? new LinearEstimator();
        this.models.set(image, model);
        const inputs = new Map<string, number>([[ALONE, 1]]);
        for (const { image: other, weight } of neighbours) {
            inputs.set(other, (inputs.get(other) ?? 0) + weight);
        }
        model.learn(inputs, Math.min(tailMs, MOST_TAIL_MS));
    }

    /** The usual tail of an image without neighbours, in milliseconds; 0 while nothing is known. */
    estimateAlone(image: string): number {
        return Math.max(0, this.models.get(image)?.getCoefficient(ALONE) ?? 0);
    }

    /** How much a neighbour raises the tail, in milliseconds for a whole worker's processor; never negative. */
    estimateHarm(image: string, other: string): number {
        return Math.max(0, this.models.get(image)?.getCoefficient(other) ?? 0);
    }

    /** The most that an image is known to harm any serving image, in milliseconds for a whole worker's processor. */
    estimateWorstHarm(other: string): number {
        return Math.max(0, ...[...this.models.values()].map(model => model.getCoefficient(other)));
    }
}
