import type { JobState } from "@sardinestage/describe-work";

/** The newest known state of an accepted job; a final state only if it is in the store. */
export interface JobFact {
    readonly id: string;
    readonly state: JobState;
}
