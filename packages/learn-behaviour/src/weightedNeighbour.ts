/** A task beside the one that was measured. */
export interface WeightedNeighbour {
    readonly image: string;
    /** The share of the worker's processor that it used. */
    readonly weight: number;
}
