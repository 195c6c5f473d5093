import { JobState } from "@sardinestage/describe-work";

/** The states by their codes on the wire. Codes are never reused: VMs of other versions know them. */
export const jobFactCodes: readonly JobState[] = [
    JobState.Queued,
    JobState.Running,
    JobState.Completed,
    JobState.Failed,
    JobState.Cancelled,
];
