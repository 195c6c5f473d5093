import type { Candidate, TermHolder } from "@sardinestage/keep-term";

/** Periodic request of a VM to the coordinator: registers the VM as a follower and asks for the coordinator's state. */
export interface FollowRequest {
    readonly candidate: Candidate;
    /** The holder of the newest term that this VM knows: another one than the VM that is asked, if that one lags. */
    readonly holder?: TermHolder;
    /** Whether the VM is about to stop, so that it shouldn't relay calls any more. */
    readonly isDraining?: boolean;
    /** Version of the list of followers that this VM has; empty at first. */
    readonly membersVersion: string;
    /** Whether the reply should contain the configuration. */
    readonly needsConfig: boolean;
    /** The configuration, if the coordinator has had an older one for a while. */
    readonly config?: unknown;
}
