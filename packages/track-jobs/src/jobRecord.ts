import type { JobSpec, QueueConfig } from "@sardinestage/describe-work";

/** A job as it is stored when it is accepted. */
export interface JobRecord {
    readonly spec: JobSpec;
    readonly queue: QueueConfig;
    /** Unix milliseconds. */
    readonly acceptedAtMs: number;
}
