import type { LinearState } from "./linearState.js";

/** The learned state of a `HeadroomEstimator` as plain data, by image of the serving tasks. */
export interface HeadroomState {
    /** Model of the headroom that neighbours take; its inputs are the neighbours' images. */
    readonly harms: Readonly<Record<string, LinearState>>;
    /** Average headroom without neighbours. */
    readonly usual: Readonly<Record<string, number>>;
    /** Headroom without neighbours that is hardly ever undercut. */
    readonly lowest: Readonly<Record<string, number>>;
}
