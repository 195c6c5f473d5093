import type { TermHolder } from "./termHolder.js";

/** What the store says of the term. */
export interface TermView {
    /** Undefined while nobody has won yet. */
    readonly holder: TermHolder | undefined;
    /** Where the topic ends: the condition of the next append. */
    readonly end: number;
    /** When its newest record was written by its writer's time of day, in Unix milliseconds; 0 for no record. */
    readonly writtenAtMs: number;
    /** Whether work might be about then that wasn't recorded yet, started by the holder or before its term. */
    readonly hasUnrecordedStarts: boolean;
    /** How many VMs followed the holder then. */
    readonly followers: number;
}
