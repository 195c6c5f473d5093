import type { JobSpec, QueueConfig } from "@sardinestage/describe-work";

/** The record of an accepted job in the store. */
export interface JobRecord {
    readonly spec: JobSpec;
    readonly queue: QueueConfig;
    /** When the job was accepted, in Unix milliseconds. */
    readonly acceptedAtMs: number;
}
