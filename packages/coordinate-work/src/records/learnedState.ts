import type { HeadroomState } from "@sardinestage/learn-behaviour";

/** The learned estimates as stored for the next coordinator. */
export interface LearnedState {
    readonly headroom: HeadroomState;
    /** Logarithms of actual over submitted durations, by queue and image. */
    readonly durations: Readonly<Record<string, number>>;
    /** Weights of histograms of actual over expected durations, by queue and image; missing if none was learned. */
    readonly spreads?: Readonly<Record<string, readonly number[]>>;
}
