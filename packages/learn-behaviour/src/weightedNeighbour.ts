/** A neighbour of a measured serving task: one or several tasks of an image on the same worker. */
export interface WeightedNeighbour {
    readonly image: string;
    /** Share of the worker's CPU that the neighbour used. */
    readonly weight: number;
}
