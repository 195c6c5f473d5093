import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { TaskRef } from "@sardinestage/describe-work";
import type { JobState } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import {
    applyProgress,
    CANCEL_SUFFIX,
    decodeFinished,
    decodeJobRecord,
    Job,
    openOccurrence,
} from "@sardinestage/track-jobs";
import type { ReadyList } from "./readyList.js";
import { ReadySteps } from "./readySteps.js";

const FULL_PERCENT = 100;

/** A job that has ended, of which only the end is kept. */
interface FinishedJob {
    readonly state: JobState;
    readonly finishedAtMs: number;
}

/** All jobs that a coordinator knows: the live ones in full, of the ended ones the end. */
export class JobBook {
    readonly live = new Map<string, Job>();
    readonly finished = new Map<string, FinishedJob>();
    /** Jobs that were cancelled before they were read. */
    private readonly cancelledEarly = new Set<string>();
    /** Tasks that weren't allowed their full speed when their pace was last changed; some may be by now. */
    private readonly slowed = new Set<Task>();
    private readonly ready = new ReadySteps();

    /** Takes a job's progress at a takeover; jobs that ended need nothing else. */
    takeProgress(record: KeyedRecord, pending: Map<string, Uint8Array>): void {
        if (record.value === undefined) {
            return;
        }
        const finished = decodeFinished(record.value);
        if (finished === undefined) {
            pending.set(record.key, record.value);
        }
        else {
            this.finished.set(record.key, finished);
        }
    }

    /**
     * Takes a job that was accepted.
     *
     * @param progress How far it was under an earlier coordinator, if it was.
     * @returns The job if it is new here.
     */
    takeJob(record: KeyedRecord, progress?: Uint8Array): Job | undefined {
        if (record.value === undefined || this.live.has(record.key) || this.finished.has(record.key)) {
            return undefined;
        }
        const { spec, queue, acceptedAtMs } = decodeJobRecord(record.value);
        const job = new Job(record.key, spec, queue, acceptedAtMs);
        if (progress !== undefined) {
            applyProgress(job, progress);
        }
        this.live.set(job.id, job);
        this.ready.addJob(job, task => this.slowed.add(task));
        return job;
    }

    /** Notes a cancellation; returns the job when it is known and hasn't ended. */
    takeCancel(id: string): Job | undefined {
        const job = this.live.get(id);
        if (job === undefined && !this.finished.has(id)) {
            this.cancelledEarly.add(id);
        }
        return job;
    }

    /** Whether a cancellation came before the job did. */
    isCancelledEarly(id: string): boolean {
        return this.cancelledEarly.has(id);
    }

    /** Moves a job that has come to its end, and of which nothing runs, to the ended ones. */
    finishJob(job: Job): void {
        this.live.delete(job.id);
        this.ready.removeJob(job);
        this.cancelledEarly.delete(job.id);
        this.finished.set(job.id, { state: job.state, finishedAtMs: job.finishedAtMs });
    }

    /** Drops the ended jobs whose state nobody asks for any more. */
    dropFinished(wallNowMs: number, keepMs: number): string[] {
        const dropped: string[] = [];
        for (const [id, job] of this.finished) {
            if (wallNowMs - job.finishedAtMs > keepMs) {
                this.finished.delete(id);
                dropped.push(id);
            }
        }
        return dropped;
    }

    /** Finds a task by name, if its occurrence is open. */
    findTask(ref: TaskRef): Task | undefined {
        return this.live.get(ref.jobId)?.open.get(ref.occurrence)?.steps.at(ref.step)?.tasks.at(ref.index);
    }

    /**
     * Opens the occurrence of which a worker lists a run: the coordinator that started it may have left no record of it,
     * or had a clock ahead of ours.
     */
    openListed(ref: TaskRef): void {
        const job = this.live.get(ref.jobId);
        if (job !== undefined) {
            openOccurrence(job, ref.occurrence);
        }
    }

    /** Whether a job of this name was ever read. */
    isKnown(jobId: string): boolean {
        return this.live.has(jobId) || this.finished.has(jobId);
    }

    /**
     * Lists the steps that could start tasks now.
     *
     * @returns The steps, and when the next occurrence of any job is due (Unix milliseconds), if one is.
     */
    listReady(wallNowMs: number): ReadyList {
        return this.ready.updateList(wallNowMs);
    }

    /** Lists the tasks at work that aren't allowed their full speed, the one slowed longest first, and forgets the others. */
    takeSlowed(): Task[] {
        for (const task of this.slowed) {
            if (!task.isActive || task.pace >= FULL_PERCENT) {
                this.slowed.delete(task);
            }
        }
        return [...this.slowed];
    }

    /** Reads the id of a cancellation's key; undefined for a job's key. */
    static parseCancelKey(key: string): string | undefined {
        return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : undefined;
    }
}
