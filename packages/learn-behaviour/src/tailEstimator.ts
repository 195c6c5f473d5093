import type { WeightedNeighbour } from "./weightedNeighbour.js";

/** Weight of the newest tail without neighbours in the average. */
const ALONE_RATE = 0.02;
/** Share of an error by which the estimates are corrected. */
const HARM_RATE = 0.08;
/** Keeps corrections small where neighbours hardly use the processor. */
const LEAST_SQUARE = 0.002;
/** A tail is taken at most as this many times the tail alone: one outlier says little about how much. */
const MOST_TIMES_ALONE = 12;
/** Share by which an estimate that isn't confirmed fades at each look, so that a wrong one is tried again. */
const FADE = 0.0005;

/**
 * Learns how much tasks of one image raise the tail latency of serving tasks of another, from lagging and noisy
 * figures: the tail is taken as the tail alone plus, for each neighbour, its share of the processor times the harm of
 * the pair (normalised least squares). Answers interference that differs by pair.
 */
export class TailEstimator {
    private readonly alone = new Map<string, number>();
    private readonly harms = new Map<string, Map<string, number>>();

    /**
     * Takes a measured tail.
     *
     * @param image Of the serving task.
     * @param neighbours What worked beside it when it was measured.
     * @param tailMs Its tail latency.
     */
    learnTail(image: string, neighbours: readonly WeightedNeighbour[], tailMs: number): void {
        const alone = this.alone.get(image);
        const square = neighbours.reduce((sum, other) => sum + other.weight * other.weight, 0);
        if (square === 0 || alone === undefined) {
            const known = alone ?? tailMs;
            this.alone.set(image, known + (tailMs - known) * ALONE_RATE);
            return;
        }
        const harms = this.harms.get(image) ?? new Map<string, number>();
        this.harms.set(image, harms);
        const predicted = neighbours.reduce((sum, other) => sum + (harms.get(other.image) ?? 0) * other.weight, alone);
        const error = Math.min(tailMs, alone * MOST_TIMES_ALONE) - predicted;
        for (const { image: other, weight } of neighbours) {
            const known = (harms.get(other) ?? 0) * (1 - FADE);
            harms.set(other, Math.max(0, known + HARM_RATE * error * weight / (square + LEAST_SQUARE)));
        }
    }

    /** The usual tail of an image without neighbours, in milliseconds; 0 while nothing is known. */
    estimateAlone(image: string): number {
        return this.alone.get(image) ?? 0;
    }

    /** How much a neighbour raises the tail, in milliseconds for a whole worker's processor. */
    estimateHarm(image: string, other: string): number {
        return this.harms.get(image)?.get(other) ?? 0;
    }
}
