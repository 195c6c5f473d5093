import type { AppendOutcome } from "@sardinestage/describe-ports";
import type { JobState, PlacementExplanation } from "@sardinestage/describe-work";

/** The coordinator's reply. Each kind of call sets only its own fields. */
export interface CoordinatorReply {
    /** State of the job; undefined for a job that was never accepted. */
    readonly state?: JobState;
    /** Set if the coordinator, or a peer that relayed the call, couldn't determine the answer. */
    readonly isUnsure?: boolean;
    /** Number of accepted jobs of the queue of which no task has run yet. */
    readonly pending?: number;
    /** Set if there is no room for the job; with `isUnsure` if the store may have the job nevertheless. */
    readonly isRefused?: boolean;
    /** Where the tasks of the job would start. */
    readonly explanation?: PlacementExplanation;
    /** Outcome of the append. */
    readonly outcome?: AppendOutcome;
    /** Set if the call wasn't sent, because no coordinator is known or the circuit is open. */
    readonly isUnsent?: boolean;
    /** Set with `isUnsent` if the call wasn't sent because the circuit is open. */
    readonly isCircuitOpen?: boolean;
}
