import { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import { recordEncoder } from "@sardinestage/track-jobs";
import { DurationEstimator } from "./durationEstimator.js";
import type { LearnedState } from "./learnedState.js";

/** Estimates that a coordinator learns from runs, stored for the next coordinator. */
export class LearnedEstimates {
    /** Key of the stored estimates among the jobs' progress records; no job has this id. */
    static readonly KEY = "learned";
    readonly headroom = new HeadroomEstimator();
    readonly durations = new DurationEstimator();

    /** Encodes the estimates as a record. */
    encodeState(): Uint8Array {
        const state: LearnedState = {
            headroom: this.headroom.describeState(),
            durations: this.durations.describeState(),
        };
        return recordEncoder.encode(state);
    }

    /** Restores the estimates from a record of another coordinator. Throws if the record can't be decoded. */
    restoreState(record: Uint8Array): void {
        const state = recordEncoder.decode(record) as LearnedState;
        this.headroom.restoreState(state.headroom);
        this.durations.restoreState(state.durations);
    }
}
