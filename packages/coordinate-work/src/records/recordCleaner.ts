import { AppendOutcome, Topic } from "@sardinestage/describe-ports";
import { CANCEL_SUFFIX } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { JobRegistry } from "../jobs/jobRegistry.js";
import type { ProgressWriter } from "./progressWriter.js";

/** Jobs whose records one append deletes: few enough for the size limit of an append. */
const MAX_JOBS_PER_DROP = 2000;
/** Timeout of an append that deletes records, in milliseconds. */
const DROP_TIMEOUT_MS = 2000;

/** Deletes the stored records of ended jobs: the accepted job soon, and the final progress after the keep time. */
export class RecordCleaner {
    private readonly obsolete = new Set<string>();

    constructor(
        private readonly parts: CoordinatorParts,
        private readonly jobs: JobRegistry,
        private readonly writer: ProgressWriter,
    ) {}

    /** Notes that an accepted job's record is obsolete because the job's end is recorded. */
    noteObsolete(id: string): void {
        this.obsolete.add(id);
    }

    /** Deletes obsolete records; those left over, also after a failed append, are deleted in the next call. */
    async dropObsolete(): Promise<void> {
        const { clock, rules, store } = this.parts;
        const dropped = this.jobs.dropFinished(clock.getWallTime(), rules.keepFinishedMs);
        dropped.forEach(id => this.writer.schedule(id, undefined));
        const ids = [...this.obsolete].slice(0, MAX_JOBS_PER_DROP);
        if (ids.length === 0) {
            return;
        }
        const records = ids.flatMap(
            id => [{ key: id, value: undefined }, { key: id + CANCEL_SUFFIX, value: undefined }],
        );
        const answer = await store.append({ topic: Topic.Jobs, records, timeoutMs: DROP_TIMEOUT_MS });
        if (answer.outcome === AppendOutcome.Appended) {
            ids.forEach(id => this.obsolete.delete(id));
        }
    }
}
