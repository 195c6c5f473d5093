import type { JobState } from "@sardinestage/describe-work";

/** What a caller is told of a job. */
export type StateAnswer =
    | { readonly state: JobState }
    /** The job was never accepted, or ended long ago. */
    | { readonly isAbsent: true }
    /** Nobody could be asked. */
    | { readonly isUnavailable: true };
