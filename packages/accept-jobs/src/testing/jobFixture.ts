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

/** Creates jobs without steps and their records for the store. */
export const jobFixture = {
    spec,
    queue,
    /** Creates the id of a job in a series. */
    createId: (index: number): string => index.toString(16).padStart(16, "0"),
    /** Creates the record of an accepted job with a payload of this many bytes. */
    createJobRecord: (id: string, payloadBytes = 1): KeyedRecord => ({
        key: id,
        value: encodeJobRecord({ spec: { ...spec, payload: "p".repeat(payloadBytes) }, queue, acceptedAtMs: 0 }),
    }),
    /** Creates the record of a job's progress. */
    createProgress(id: string, state: JobState): KeyedRecord {
        const job = new Job(id, spec, queue, 0);
        job.state = state;
        job.finishedAtMs = 1;
        return { key: id, value: encodeProgress(job) };
    },
};
