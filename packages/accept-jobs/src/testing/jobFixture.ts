import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { JobSpec, JobState, QueueConfig } from "@sardinestage/describe-work";
import { encodeJobRecord, encodeProgress, Job } from "@sardinestage/track-jobs";

const spec: JobSpec = { payload: "p", steps: [], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
const queue: QueueConfig = {
    name: "queue",
    host: "host",
    pathPrefix: "/",
    service: "service",
    priority: 0,
    maxAttempts: 2,
    stretch: 2,
    targetLatencyMs: 500,
};

/** A job without steps, and its records in the store. */
export const jobFixture = {
    spec,
    queue,
    /** The job's id in a series of jobs. */
    createId: (index: number): string => index.toString(16).padStart(16, "0"),
    /** The record of the job as accepted. */
    createJobRecord: (id: string): KeyedRecord => ({
        key: id,
        value: encodeJobRecord({ spec, queue, acceptedAtMs: 0 }),
    }),
    /** The record of its progress. */
    createProgress(id: string, state: JobState): KeyedRecord {
        const job = new Job(id, spec, queue, 0);
        job.state = state;
        job.finishedAtMs = 1;
        return { key: id, value: encodeProgress(job) };
    },
};
