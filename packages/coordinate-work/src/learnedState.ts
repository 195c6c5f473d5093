import type { HeadroomState } from "@sardinestage/learn-behaviour";

/** What a coordinator has learned, as the next one finds it in the store. */
export interface LearnedState {
    readonly headroom: HeadroomState;
    /** Logarithms of true over guessed durations, by queue and image. */
    readonly durations: Readonly<Record<string, number>>;
}
