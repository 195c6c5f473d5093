import type { Job, PartKey } from "@sardinestage/track-jobs";
import { takeRecords } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { ProgressWriter } from "./progressWriter.js";

/** Reserve for a record's key within the store's limit of a record, in bytes. */
const KEY_BYTES = 256;

/** Schedules the records of what has changed of a job, and announces its state unless it has ended. */
export class JobRecorder {
    constructor(private readonly parts: CoordinatorParts, private readonly writer: ProgressWriter) {}

    /** Schedules the deletion of parts of the progress of ended jobs. */
    dropParts(keys: readonly PartKey[]): void {
        keys.forEach(key => this.writer.schedule(key.format(), undefined));
    }

    /** Schedules the write of all records of a job that have changed since the last call. */
    recordJob(job: Job): void {
        if (!job.isFinished) {
            this.parts.onJobState?.(job.id, job.state);
        }
        const maxBytes = this.parts.rules.storeLimits.maxRecordBytes - KEY_BYTES;
        takeRecords(job, maxBytes).forEach(({ key, encode }) => this.writer.schedule(key, encode));
    }
}
