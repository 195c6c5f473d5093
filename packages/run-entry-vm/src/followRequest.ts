import type { Candidate } from "@sardinestage/keep-term";

/** A VM tells the coordinator that it is there, and asks whether all is well. */
export interface FollowRequest {
    readonly candidate: Candidate;
    readonly configVersion: number;
    /** The configuration, when the coordinator's last reply showed an older version. */
    readonly config?: unknown;
}
