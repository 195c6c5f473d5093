import type { TermHolder } from "./termHolder.js";

/** The current term as read from the store. */
export interface TermView {
    /** Holder of the newest term; undefined if no process has won one yet. */
    readonly holder: TermHolder | undefined;
    /** End offset of the topic, which the next append expects. */
    readonly end: number;
    /** Offset after the holder's newest record; 0 without a record. */
    readonly recordEnd: number;
    /** When the newest record was written, by its writer's wall clock, in Unix milliseconds; 0 without a record. */
    readonly writtenAtMs: number;
    /**
     * Whether, at that time, there may have been started runs that weren't recorded yet, started by the holder or
     * before its term.
     */
    readonly hasUnrecordedStarts: boolean;
    /** Whether the holder and those before it give no lease beyond a bound that counts from their authority's age. */
    readonly areLeasesBound: boolean;
    /** Number of VMs that followed the holder at that time. */
    readonly followers: number;
}
