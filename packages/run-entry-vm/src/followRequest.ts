import type { Candidate, TermHolder } from "@sardinestage/keep-term";
import type { EvacuationState } from "@sardinestage/track-evacuations";
import type { JobFacts } from "./jobFacts.js";

/** Periodic request of a VM to the coordinator: registers the VM as a follower and asks for the coordinator's state. */
export interface FollowRequest {
    readonly candidate: Candidate;
    /** The holder of the newest term that this VM knows: another one than the VM that is asked, if that one lags. */
    readonly holder?: TermHolder;
    /** Whether the VM is about to stop, so that it shouldn't relay calls any more. */
    readonly isDraining?: boolean;
    /** Version of the list of followers that this VM has; empty at first. */
    readonly membersVersion: string;
    /** What this VM knows of the jobs, without rows; undefined from a VM of an earlier version. */
    readonly jobFacts?: JobFacts;
    /** Whether the reply should contain the configuration. */
    readonly needsConfig: boolean;
    /** The configuration, if the coordinator has had an older one for a while. */
    readonly config?: unknown;
    /** What the sender knows of evacuations; undefined if it doesn't, or is of an earlier version. */
    readonly evacuations?: EvacuationState;
}
