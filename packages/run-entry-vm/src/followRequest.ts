import type { Candidate } from "@sardinestage/keep-term";

/** A VM tells the coordinator that it is there, and asks whether all is well. */
export interface FollowRequest {
    readonly candidate: Candidate;
    /** Of the members that this VM knows of; empty at first. */
    readonly membersVersion: string;
    readonly configVersion: number;
    /** The configuration, when the coordinator's last reply showed an older version. */
    readonly config?: unknown;
}
