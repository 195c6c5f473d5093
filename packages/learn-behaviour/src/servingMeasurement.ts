import type { WeightedNeighbour } from "./weightedNeighbour.js";

/** A headroom measurement of a serving task and the tasks that ran beside it. */
export interface ServingMeasurement {
    /** The task's latency target divided by its tail latency. */
    readonly headroom: number;
    readonly neighbours: readonly WeightedNeighbour[];
}
