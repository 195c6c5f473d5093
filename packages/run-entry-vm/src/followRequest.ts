import type { Candidate } from "@sardinestage/keep-term";

/** Periodic request of a VM to the coordinator: registers the VM as a follower and asks for the coordinator's state. */
export interface FollowRequest {
    readonly candidate: Candidate;
    /** Version of the list of followers that this VM has; empty at first. */
    readonly membersVersion: string;
    /** Whether the reply should contain the configuration. */
    readonly needsConfig: boolean;
    /** The configuration, if the coordinator has had an older one for a while. */
    readonly config?: unknown;
}
