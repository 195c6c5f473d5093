import { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import { recordEncoder } from "@sardinestage/track-jobs";
import { DurationBook } from "./durationBook.js";
import type { LearnedState } from "./learnedState.js";

/** What a coordinator learns of work, and hands to the next one. */
export class Learned {
    /** Its record's key among the jobs' progress; no job's id is like it. */
    static readonly KEY = "learned";
    readonly headroom = new HeadroomEstimator();
    readonly durations = new DurationBook();

    /** Writes what was learned as a record. */
    encodeState(): Uint8Array {
        const state: LearnedState = {
            headroom: this.headroom.describeState(),
            durations: this.durations.describeState(),
        };
        return recordEncoder.encode(state);
    }

    /** Goes on from a record of another coordinator; throws on other bytes. */
    restoreState(record: Uint8Array): void {
        const state = recordEncoder.decode(record) as LearnedState;
        this.headroom.restoreState(state.headroom);
        this.durations.restoreState(state.durations);
    }
}
