import type { ChangedRecord } from "./changedRecord.js";
import { ChangedRecordKind } from "./changedRecordKind.js";
import { encodeProgress } from "./encodeProgress.js";
import { encodeProgressPart } from "./encodeProgressPart.js";
import type { Job } from "./job.js";
import type { RecordChange } from "./recordChange.js";

/**
 * Takes the records of a job's progress that have changed since the last call, in the order in which they have to be
 * written.
 *
 * @param maxBytes The largest record that the store takes, in bytes.
 */
export function takeRecords(job: Job, maxBytes: number): readonly RecordChange[] {
    return job.changes.takeChanged().map(changed => ({
        key: changed.key,
        encode: chooseEncoder(job, changed, maxBytes),
    }));
}

/** Chooses how a record is encoded at the time of its write; undefined for one that is dropped. */
function chooseEncoder(job: Job, { kind, part }: ChangedRecord, maxBytes: number): RecordChange["encode"] {
    if (kind === ChangedRecordKind.Job) {
        return () => encodeProgress(job, maxBytes);
    }
    return part === undefined ? undefined : () => encodeProgressPart(part.step, part.key, maxBytes);
}
