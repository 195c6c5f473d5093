import type { AppendOutcome } from "@sardinestage/describe-ports";
import type { JobState } from "@sardinestage/describe-work";

/** The coordinator's reply; only the fields of the call's kind are set. */
export interface CoordinatorReply {
    /** A job's state; missing for a job that was never accepted. */
    readonly state?: JobState;
    /** Whether the state couldn't be made sure of. */
    readonly isUnsure?: boolean;
    readonly pending?: number;
    readonly outcome?: AppendOutcome;
    /** Nobody was known to be asked: nothing was sent. */
    readonly isUnsent?: boolean;
}
