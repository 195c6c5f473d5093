import type { WeightedNeighbour } from "./weightedNeighbour.js";

/** What was measured of a serving task, and beside what. */
export interface ServingFigure {
    /** Its target over its tail latency. */
    readonly headroom: number;
    readonly neighbours: readonly WeightedNeighbour[];
}
