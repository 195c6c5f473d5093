import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { Job } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "./coordinatorParts.js";
import type { Fleet } from "./fleet.js";
import type { Janitor } from "./janitor.js";
import { JobBook } from "./jobBook.js";

/** What an intake works on. */
interface IntakeParts {
    readonly jobs: JobBook;
    readonly fleet: Fleet;
    readonly janitor: Janitor;
    readonly cancelJob: (id: string) => void;
    readonly noteTaken: (job: Job) => void;
}

/** Takes accepted jobs and cancellations as they stand in the store. */
export class JobIntake {
    /** Records that were read before the progress of their jobs; undefined once that is known. */
    private early: KeyedRecord[] | undefined = [];

    constructor(private readonly parts: CoordinatorParts, private readonly intake: IntakeParts) {}

    /** Takes a record; at a takeover it waits until the progress of all jobs is known. */
    takeRecord(record: KeyedRecord): void {
        if (this.early === undefined) {
            this.applyRecord(record, undefined);
        }
        else {
            this.early.push(record);
        }
    }

    /**
     * Takes the records that came before.
     *
     * @param progress How far earlier coordinators brought the jobs that haven't ended, by id.
     */
    applyEarly(progress: ReadonlyMap<string, Uint8Array>): void {
        const records = this.early ?? [];
        this.early = undefined;
        records.forEach(record => this.applyRecord(record, progress.get(record.key)));
    }

    private applyRecord(record: KeyedRecord, progress: Uint8Array | undefined): void {
        const cancelled = JobBook.parseCancelKey(record.key);
        if (cancelled !== undefined) {
            if (record.value !== undefined) {
                this.intake.cancelJob(cancelled);
            }
            return;
        }
        const job = this.tryTaking(record, progress);
        if (job === undefined) {
            return;
        }
        this.bindActiveTasks(job);
        if (this.intake.jobs.isCancelledEarly(job.id)) {
            this.intake.cancelJob(job.id);
        }
        this.intake.noteTaken(job);
    }

    private tryTaking(record: KeyedRecord, progress: Uint8Array | undefined): Job | undefined {
        const { jobs, janitor } = this.intake;
        try {
            const job = jobs.takeJob(record, progress);
            if (job === undefined) {
                if (record.value !== undefined && jobs.finished.has(record.key)) {
                    janitor.noteNeedless(record.key);
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

    /** What is recorded as running may be running: it is looked for at its worker, listed or not. */
    private bindActiveTasks(job: Job): void {
        for (const task of job.listTasks()) {
            if (task.isActive) {
                this.intake.fleet.getOrAddLink(task.workerId).tasks.add(task);
            }
        }
    }
}
