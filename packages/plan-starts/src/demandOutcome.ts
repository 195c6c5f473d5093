/** What became of a demand in a planning round. */
export interface DemandOutcome {
    /** Whether all tasks that the round may still start were placed, or wait only for a trusted worker. */
    readonly isMet: boolean;
    /** Number of tasks that wait for a trusted worker although others have room. */
    readonly heldBackCount: number;
}
