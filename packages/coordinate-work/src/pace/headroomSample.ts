import type { ServingMeasurement } from "@sardinestage/learn-behaviour";

/** The headroom of a serving task and its neighbours, as last sampled. */
export interface HeadroomSample extends ServingMeasurement {
    readonly workerId: string;
    /** When the sample was taken, in steady milliseconds. */
    readonly atMs: number;
    /** How much less headroom the task has than expected of its step, as a moving average; never negative. */
    readonly deficit: number;
}
