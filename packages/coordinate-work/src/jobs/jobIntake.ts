import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { Job } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { JobRecorder } from "../records/jobRecorder.js";
import type { RecordCleaner } from "../records/recordCleaner.js";
import type { StoredProgress } from "../records/storedProgress.js";
import type { Fleet } from "../workers/fleet.js";
import { JobRegistry } from "./jobRegistry.js";

/** Dependencies of a job intake. */
interface JobIntakeParts {
    readonly jobs: JobRegistry;
    readonly fleet: Fleet;
    readonly recordCleaner: RecordCleaner;
    readonly recorder: JobRecorder;
    readonly cancelJob: (id: string) => void;
    /** Called for each job that was added. */
    readonly noteAdded: (job: Job) => void;
}

/** Applies the records of accepted jobs and cancellations that are read from the store. */
export class JobIntake {
    /**
     * The newest records read during a takeover, by key, before the progress of all jobs is loaded; undefined after that.
     * A takeover may read the same records several times.
     */
    private deferred: Map<string, KeyedRecord> | undefined = new Map<string, KeyedRecord>();

    constructor(private readonly parts: CoordinatorParts, private readonly collaborators: JobIntakeParts) {}

    /** Applies a record; during a takeover only once the progress of all jobs is loaded. */
    handleRecord(record: KeyedRecord): void {
        if (this.deferred === undefined) {
            this.applyRecord(record, undefined);
        }
        else {
            this.deferred.set(record.key, record);
        }
    }

    /**
     * Applies the records that were read before the progress of all jobs was loaded.
     *
     * @param progress The recorded progress of jobs that haven't ended, by job id.
     */
    applyDeferred(progress: ReadonlyMap<string, StoredProgress>): void {
        const records = [...this.deferred?.values() ?? []];
        this.deferred = undefined;
        records.forEach(record => this.applyRecord(record, progress.get(record.key)));
        this.collaborators.jobs.finished.forEach(({ state }, id) => this.parts.onJobState?.(id, state));
        for (const [id, { parts }] of progress) {
            if (this.collaborators.jobs.finished.has(id)) {
                // The coordinator that recorded the job's end ended itself before it dropped them.
                this.collaborators.recorder.dropParts(parts.map(part => part.key));
            }
        }
    }

    private applyRecord(record: KeyedRecord, progress: StoredProgress | undefined): void {
        const cancelled = JobRegistry.parseCancelKey(record.key);
        if (cancelled !== undefined) {
            if (record.value !== undefined) {
                this.collaborators.cancelJob(cancelled);
            }
            return;
        }
        const { recorder } = this.collaborators;
        const job = this.tryAdding(record, progress);
        if (job === undefined) {
            return;
        }
        this.bindActiveTasks(job);
        if (progress !== undefined && job.isPartitioned) {
            // An earlier version, or a coordinator that ended between two appends, may have left records to write anew.
            recorder.recordJob(job);
        }
        if (this.collaborators.jobs.isCancelledBeforeRead(job.id)) {
            this.collaborators.cancelJob(job.id);
        }
        if (!job.isFinished) {
            this.parts.onJobState?.(job.id, job.state);
        }
        this.collaborators.noteAdded(job);
    }

    private tryAdding(record: KeyedRecord, progress: StoredProgress | undefined): Job | undefined {
        const { jobs, recordCleaner } = this.collaborators;
        try {
            const job = jobs.addJob(record, progress);
            if (job === undefined) {
                if (record.value !== undefined && jobs.finished.has(record.key)) {
                    recordCleaner.noteObsolete(record.key);
                }
                return undefined;
            }
            const fields = { job: job.id, queue: job.queue.name, steps: job.spec.steps.length, state: job.state };
            this.parts.logger.info("job-taken", fields);
            return job;
        }
        catch (failure) {
            this.parts.metrics.count("records_unreadable_total", "job");
            this.parts.logger.error("job-unreadable", { job: record.key, problem: String(failure) });
            return undefined;
        }
    }

    /**
     * Assigns runs that are recorded as active to their workers, also to unlisted ones: these runs may still be active.
     */
    private bindActiveTasks(job: Job): void {
        for (const task of job.listKnownTasks()) {
            if (task.isActive) {
                this.collaborators.fleet.getOrAddWorker(task.workerId).tasks.add(task);
            }
        }
    }
}
