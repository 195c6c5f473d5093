import type { Clock, StoredRecord, StorePort } from "@sardinestage/describe-ports";
import { Topic } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";
import type { EventLogger } from "@sardinestage/log-events";
import { CANCEL_SUFFIX, decodeFinishedJob, decodeJobState } from "@sardinestage/track-jobs";
import type { JobStateAnswer } from "./jobStateAnswer.js";
import type { JobStateCache } from "./jobStateCache.js";
import { KeyReader } from "./keyReader.js";
import { PageBudget } from "./pageBudget.js";
import type { PageTotals } from "./pageTotals.js";
import type { StateQuery } from "./stateQuery.js";
import { StateReadStep } from "./stateReadStep.js";
import { StoreSilence } from "./storeSilence.js";

/** Keys of job records in the progress topic, which has other keys too. */
const JOB_KEY = /^[0-9a-f]{16}$/;
/** Approximate maximum size of an ended job's record, in bytes. Longer records are decoded only when requested. */
const MAX_ENDED_RECORD_BYTES = 128;

/**
 * Wait for a job's progress before the accepted jobs are read as well, in milliseconds: more than a page takes from a
 * store that isn't slow, so that few accepted jobs are read in vain.
 */
const JOBS_READ_DELAY_MS = 250;

/** Dependencies of `JobStateReader`. */
interface JobStateReaderParts {
    readonly store: StorePort;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly jobStateCache: JobStateCache;
}

/**
 * Reads a job's state from the store, as a fallback for the coordinator. The record of an accepted job is deleted only
 * after the job's end is recorded in the progress topic. So a job that is missing among the accepted jobs, and has no
 * progress in a read that starts after that, was never accepted or ended long ago.
 */
export class JobStateReader {
    private readonly progress: KeyReader;
    private readonly jobs: KeyReader;

    constructor(private readonly parts: JobStateReaderParts) {
        const budget = new PageBudget();
        this.progress = new KeyReader({
            ...parts,
            budget,
            topic: Topic.Progress,
            name: "progress",
            noteRecord: record => this.noteEnded(record),
        });
        this.jobs = new KeyReader({
            ...parts,
            budget,
            topic: Topic.Jobs,
            name: "jobs",
            noteRecord: record => this.noteAccepted(record),
        });
    }

    /** What has been read from the store so far. */
    get totals(): PageTotals {
        const [progress, jobs] = [this.progress.totals, this.jobs.totals];
        return { pages: progress.pages + jobs.pages, bytes: progress.bytes + jobs.bytes };
    }

    /**
     * Reads a job's state.
     *
     * @param query The question; notes why the store doesn't answer it.
     * @returns The state; undefined if the store didn't answer in time.
     */
    async read(query: StateQuery): Promise<JobStateAnswer | undefined> {
        const { jobStateCache } = this.parts;
        let jobsRead: Promise<readonly StoredRecord[] | undefined> | undefined;
        const cancelJobsRead = this.parts.clock.schedule(JOBS_READ_DELAY_MS, () => {
            if (!jobStateCache.isAccepted(query.id)) {
                jobsRead = this.readWithRetry(this.jobs, query);
            }
        });
        query.noteStep(StateReadStep.Progress);
        const early = await this.readWithRetry(this.progress, query);
        cancelJobsRead();
        const answer = this.describeProgress(query, early?.at(0));
        if (early === undefined || answer !== undefined) {
            return answer;
        }
        const isUnreadable = early.length > 0;
        if (!jobStateCache.isAccepted(query.id)) {
            query.noteStep(StateReadStep.Jobs);
            const records = await (jobsRead ?? this.readWithRetry(this.jobs, query));
            if (records === undefined) {
                return undefined;
            }
            if (!records.some(({ key }) => key === query.id)) {
                return isUnreadable ? this.noteUnreadable(query) : this.readProgressAgain(query);
            }
        }
        if (isUnreadable) {
            // It has begun, and may have ended, also before a cancellation.
            return { state: JobState.Running };
        }
        return { state: jobStateCache.isCancelled(query.id) ? JobState.Cancelled : JobState.Queued };
    }

    /** Logs the pages that aren't logged yet. */
    close(): void {
        this.progress.close();
        this.jobs.close();
    }

    /** Reads the progress of a job that isn't among the accepted ones: it may have ended meanwhile. */
    private async readProgressAgain(query: StateQuery): Promise<JobStateAnswer | undefined> {
        query.noteStep(StateReadStep.ProgressAgain);
        const late = await this.readWithRetry(this.progress, query);
        return late?.length === 0 ? { isAbsent: true } : this.describeProgress(query, late?.at(0));
    }

    /** Reads a job's key, and retries after a lost page until the question's end, since many reads share a page. */
    private async readWithRetry(
        reader: KeyReader,
        query: StateQuery,
    ): Promise<readonly StoredRecord[] | undefined> {
        const { clock } = this.parts;
        const { id, untilMs } = query;
        let records = await reader.read(id, untilMs);
        while (records === undefined && !reader.isStoreUnavailable && clock.getNow() < untilMs) {
            records = await reader.read(id, untilMs);
        }
        if (records === undefined && clock.getNow() < untilMs) {
            query.store = StoreSilence.Refused;
        }
        return records;
    }

    private describeProgress(query: StateQuery, record: StoredRecord | undefined): JobStateAnswer | undefined {
        const { id } = query;
        if (record?.value === undefined) {
            return record === undefined ? undefined : this.noteUnreadable(query);
        }
        const { jobStateCache } = this.parts;
        try {
            const state = decodeFinishedJob(record.value)?.state ?? decodeJobState(record.value);
            jobStateCache.noteState(id, state);
            const isEnded = jobStateCache.findFinalState(id) !== undefined;
            return { state: !isEnded && jobStateCache.isCancelled(id) ? JobState.Cancelled : state };
        }
        catch (failure) {
            this.parts.logger.error("progress-unreadable", { job: id, problem: String(failure) });
            return this.noteUnreadable(query);
        }
    }

    private noteUnreadable(query: StateQuery): undefined {
        query.store = StoreSilence.Unreadable;
        return undefined;
    }

    private noteEnded(record: StoredRecord): void {
        if (record.value === undefined || record.value.length > MAX_ENDED_RECORD_BYTES || !JOB_KEY.test(record.key)) {
            return;
        }
        try {
            const end = decodeFinishedJob(record.value);
            if (end !== undefined) {
                this.parts.jobStateCache.noteFinalState(record.key, end.state);
            }
        }
        catch (failure) {
            this.parts.logger.error("progress-unreadable", { job: record.key, problem: String(failure) });
        }
    }

    private noteAccepted({ key }: StoredRecord): void {
        if (key.endsWith(CANCEL_SUFFIX)) {
            this.parts.jobStateCache.noteCancelled(key.slice(0, -CANCEL_SUFFIX.length));
        }
        else {
            this.parts.jobStateCache.noteAccepted(key);
        }
    }
}
