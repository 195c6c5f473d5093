import { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import { recordEncoder } from "@sardinestage/track-jobs";
import { DurationEstimator } from "../jobs/durationEstimator.js";
import type { LearnedState } from "./learnedState.js";

/** Estimates that a coordinator learns from runs, stored for the next coordinator. */
export class LearnedEstimates {
    /** Key of the stored estimates among the jobs' progress records; no job has this id. */
    static readonly KEY = "learned";
    readonly headroom = new HeadroomEstimator();
    readonly durations = new DurationEstimator();

    /**
     * Encodes the estimates as a record. What makes the record too large is left out: the next coordinator learns it
     * again.
     *
     * @param maxBytes The largest record that the store takes, in bytes.
     */
    encodeState(maxBytes = Infinity): Uint8Array {
        const headroom = this.headroom.describeState();
        const durations = this.durations.describeState();
        const none = { harms: {}, usual: {}, lowest: {} };
        const spreads = this.durations.describeSpreads();
        const learnedSpreads = Object.keys(spreads).length > 0 ? { spreads } : {};
        const states: LearnedState[] = [
            { headroom, durations, ...learnedSpreads },
            { headroom: none, durations, ...learnedSpreads },
            { headroom: none, durations },
        ];
        const records = states.map(state => recordEncoder.encode(state));
        const empty: LearnedState = { headroom: none, durations: {} };
        return records.find(record => record.length <= maxBytes) ?? recordEncoder.encode(empty);
    }

    /** Restores the estimates from a record of another coordinator. Throws if the record can't be decoded. */
    restoreState(record: Uint8Array): void {
        const state = recordEncoder.decode(record) as LearnedState;
        this.headroom.restoreState(state.headroom);
        this.durations.restoreState(state.durations);
        this.durations.restoreSpreads(state.spreads ?? {});
    }
}
