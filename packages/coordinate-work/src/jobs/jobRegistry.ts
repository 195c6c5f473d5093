import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { TaskRef } from "@sardinestage/describe-work";
import type { JobState } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import {
    applyProgress,
    applyProgressPart,
    CANCEL_SUFFIX,
    decodeFinishedJob,
    decodeJobRecord,
    estimateJobBytes,
    Job,
    openOccurrence,
    PartKey,
} from "@sardinestage/track-jobs";
import { StoredProgress } from "../records/storedProgress.js";
import type { JobSize } from "./jobSize.js";
import type { ReadyList } from "./readyList.js";
import { ReadySteps } from "./readySteps.js";

const FULL_PACE_PERCENT = 100;

/** The final state of a job that has ended. */
interface FinishedJob {
    readonly state: JobState;
    readonly finishedAtMs: number;
}

/** All jobs that a coordinator knows: live jobs in full, and the final state of ended ones. */
export class JobRegistry {
    readonly live = new Map<string, Job>();
    readonly finished = new Map<string, FinishedJob>();
    /** Ids of jobs whose cancellation was read before the job itself. */
    private readonly cancelledBeforeRead = new Set<string>();
    /** Tasks whose pace was set below 100%; tasks that have ended or returned to full pace are removed later. */
    private readonly throttled = new Set<Task>();
    private readonly ready = new ReadySteps();

    /** @param noteSize Called with the size of each live job, and with none once the job isn't live any more. */
    constructor(private readonly noteSize: (id: string, size?: JobSize) => void = () => undefined) {}

    /**
     * Loads a progress record at a takeover: ended jobs are complete with it, the others are added to `pending`. So is
     * a record that can't be read: `addJob` then fails on it too, rather than treat the job as one that never ran.
     */
    loadProgress(record: KeyedRecord, pending: Map<string, StoredProgress>): void {
        if (record.value === undefined) {
            return;
        }
        const partKey = PartKey.parse(record.key);
        const jobId = partKey?.jobId ?? record.key;
        const stored = pending.get(jobId) ?? new StoredProgress();
        pending.set(jobId, stored);
        if (partKey !== undefined) {
            stored.parts.push({ key: partKey, value: record.value });
            return;
        }
        stored.state = record.value;
        const finished = tryDecodingEnd(record.value);
        if (finished !== undefined) {
            this.finished.set(record.key, finished);
        }
    }

    /**
     * Adds an accepted job.
     *
     * @param progress The job's progress under earlier coordinators, if any was recorded.
     * @returns The job; undefined if the record is empty or the job is known already.
     */
    addJob(record: KeyedRecord, progress?: StoredProgress): Job | undefined {
        if (record.value === undefined || this.live.has(record.key) || this.finished.has(record.key)) {
            return undefined;
        }
        const { spec, queue, acceptedAtMs } = decodeJobRecord(record.value);
        const job = new Job(record.key, spec, queue, acceptedAtMs);
        if (progress?.state !== undefined) {
            applyProgress(job, progress.state);
        }
        progress?.parts.forEach(({ key, value }) => applyProgressPart(job, key, value));
        this.live.set(job.id, job);
        this.noteSize(job.id, {
            bytes: estimateJobBytes(spec, record.value.length),
            steps: spec.steps.length,
            queue: queue.name,
        });
        this.ready.addJob(job, task => this.throttled.add(task));
        return job;
    }

    /** Notes a cancellation. Returns the job if it is known and hasn't ended. */
    noteCancel(id: string): Job | undefined {
        const job = this.live.get(id);
        if (job === undefined && !this.finished.has(id)) {
            this.cancelledBeforeRead.add(id);
        }
        return job;
    }

    /** Whether the job's cancellation was read before the job itself. */
    isCancelledBeforeRead(id: string): boolean {
        return this.cancelledBeforeRead.has(id);
    }

    /** Moves a job without active runs from the live jobs to the ended ones. */
    finishJob(job: Job): void {
        this.live.delete(job.id);
        this.noteSize(job.id);
        this.ready.removeJob(job);
        this.cancelledBeforeRead.delete(job.id);
        this.finished.set(job.id, { state: job.state, finishedAtMs: job.finishedAtMs });
    }

    /** Drops jobs that ended more than `keepMs` ago. Returns their ids. */
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

    /** Finds a task by its reference, if its occurrence is open. */
    findTask(ref: TaskRef): Task | undefined {
        const occurrence = this.live.get(ref.jobId)?.openOccurrences.get(ref.occurrence);
        const step = occurrence?.hasStep(ref.step) === true ? occurrence.getStep(ref.step) : undefined;
        const isValid = step !== undefined && ref.index >= 0 && ref.index < step.spec.taskCount;
        return isValid ? step.getTask(ref.index) : undefined;
    }

    /**
     * Opens the occurrence to which a reported run belongs. The coordinator that started the run may have left no
     * record of the occurrence, or its clock may have been ahead of this one's.
     */
    openReportedOccurrence(ref: TaskRef): void {
        const job = this.live.get(ref.jobId);
        if (job !== undefined) {
            openOccurrence(job, ref.occurrence);
        }
    }

    /** Whether a job with this id is live or has ended. */
    isKnown(jobId: string): boolean {
        return this.live.has(jobId) || this.finished.has(jobId);
    }

    /**
     * Lists the steps that have tasks ready to start.
     *
     * @returns The steps, and when the next occurrence of any job is due in Unix milliseconds, if there is one.
     */
    listReady(wallNowMs: number): ReadyList {
        return this.ready.updateList(wallNowMs);
    }

    /** Lists the active tasks with a pace below 100%, the longest throttled first, and forgets all others. */
    listThrottled(): Task[] {
        for (const task of this.throttled) {
            if (!task.isActive || task.pace >= FULL_PACE_PERCENT) {
                this.throttled.delete(task);
            }
        }
        return [...this.throttled];
    }

    /** Parses the job id from the key of a cancellation; undefined for the key of a job. */
    static parseCancelKey(key: string): string | undefined {
        return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : undefined;
    }
}

function tryDecodingEnd(progress: Uint8Array): FinishedJob | undefined {
    try {
        return decodeFinishedJob(progress);
    }
    catch {
        return undefined;
    }
}
