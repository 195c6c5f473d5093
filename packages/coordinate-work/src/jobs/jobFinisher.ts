import { JobState } from "@sardinestage/describe-work";
import type { Job } from "@sardinestage/track-jobs";
import { applyFailure, PartKey } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { OrderSender } from "../orders/orderSender.js";
import type { AdviceCache } from "../planning/adviceCache.js";
import type { JobRecorder } from "../records/jobRecorder.js";
import type { ProgressWriter } from "../records/progressWriter.js";
import type { RecordCleaner } from "../records/recordCleaner.js";
import type { Fleet } from "../workers/fleet.js";
import type { JobRegistry } from "./jobRegistry.js";

/** Dependencies of a job finisher. */
interface JobFinisherParts {
    readonly jobs: JobRegistry;
    readonly fleet: Fleet;
    readonly writer: ProgressWriter;
    readonly recorder: JobRecorder;
    readonly orders: OrderSender;
    readonly advice: AdviceCache;
    readonly recordCleaner: RecordCleaner;
}

/** Records the progress of jobs; stops the remaining runs of ended jobs and closes these jobs. */
export class JobFinisher {
    /** Ids of jobs whose end is recorded, so that the end may be reported to callers. */
    private readonly recorded = new Set<string>();
    /** Ended jobs whose runs were stopped. Runs that are found later are stopped with the report that lists them. */
    private readonly stopped = new WeakSet<Job>();

    constructor(private readonly parts: CoordinatorParts, private readonly collaborators: JobFinisherParts) {}

    /**
     * Finds the state to report to callers: an end other than a cancellation counts as running until it is
     * recorded.
     *
     * @returns The state; undefined for an unknown job.
     */
    findState(id: string): JobState | undefined {
        const job = this.collaborators.jobs.live.get(id);
        if (job === undefined) {
            return this.collaborators.jobs.finished.get(id)?.state;
        }
        const isEndHidden = job.isFinished && !this.recorded.has(id) && job.state !== JobState.Cancelled;
        return isEndHidden ? JobState.Running : job.state;
    }

    /**
     * Schedules the write of a job's progress. If the job has ended, stops its runs and closes the job once recorded.
     */
    handleChange(job: Job): void {
        this.collaborators.recorder.recordJob(job);
        if (job.isFinished) {
            if (!this.stopped.has(job)) {
                this.stopped.add(job);
                this.stopTasks(job);
            }
            this.collaborators.writer.runWhenRecorded(() => this.closeJob(job), false);
        }
    }

    /**
     * Fails a job whose progress can't be recorded: it could neither start nor end safely, and what waits for its record
     * would wait for ever. The record of a failed job is small.
     *
     * @param key Key of the record that the store doesn't take.
     */
    finishUnrecorded(key: string): void {
        const job = this.collaborators.jobs.live.get(PartKey.parse(key)?.jobId ?? key);
        if (job !== undefined && applyFailure(job, this.parts.clock.getWallTime())) {
            this.parts.logger.error("job-unrecorded", { job: job.id, record: key });
            this.handleChange(job);
        }
    }

    private stopTasks(job: Job): void {
        const tasks = [...job.listKnownTasks()];
        for (const task of [...tasks, ...tasks.flatMap(({ copy }) => copy ?? [])]) {
            const worker = this.collaborators.fleet.workers.get(task.workerId);
            if (worker !== undefined && task.isActive) {
                this.collaborators.orders.sendStop(task, worker, "job-ended");
            }
        }
    }

    private closeJob(job: Job): void {
        const { jobs, advice, recordCleaner } = this.collaborators;
        if (jobs.live.get(job.id) !== job) {
            // The ends of several runs after the job's own end are often recorded together; the first closed the job.
            return;
        }
        if (!this.recorded.has(job.id)) {
            this.recorded.add(job.id);
            this.parts.onJobState?.(job.id, job.state);
            const tookMs = Math.round(job.finishedAtMs - job.acceptedAtMs);
            this.parts.metrics.count("jobs_ended_total", job.state);
            this.parts.logger.info("job-ended", { job: job.id, state: job.state, queue: job.queue.name, tookMs });
        }
        if (!job.hasActiveTask) {
            jobs.finishJob(job);
            advice.dropJob(job.id);
            recordCleaner.noteObsolete(job.id);
            this.recorded.delete(job.id);
        }
    }
}
