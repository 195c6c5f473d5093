import type { Candidate } from "@sardinestage/keep-term";

/** A VM tells the coordinator that it is there, and asks whether all is well. */
export interface FollowRequest {
    readonly candidate: Candidate;
    /** Of the members that this VM knows of; empty at first. */
    readonly membersVersion: string;
    /** Whether the configuration is to come with the reply. */
    readonly needsConfig: boolean;
    /** The configuration, when the coordinator stays behind it. */
    readonly config?: unknown;
}
