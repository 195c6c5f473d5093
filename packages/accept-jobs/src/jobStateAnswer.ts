import type { JobState } from "@sardinestage/describe-work";

/** Answer to a caller's query for a job's state. */
export type JobStateAnswer =
    | { readonly state: JobState }
    /** The job was never accepted, or it ended so long ago that its records are deleted. */
    | { readonly isAbsent: true }
    /** Neither the coordinator nor the store answered. */
    | { readonly isUnavailable: true };
