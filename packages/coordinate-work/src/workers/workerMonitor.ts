import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { DurationEstimator } from "../jobs/durationEstimator.js";
import type { OrderSender } from "../orders/orderSender.js";
import type { FailureAttribution } from "./failureAttribution.js";
import { findStalled } from "./findStalled.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** Stops runs of ended jobs, stalled runs, and runs that a draining worker can't finish. */
export class WorkerMonitor {
    constructor(
        private readonly parts: CoordinatorParts,
        private readonly orders: OrderSender,
        private readonly durations: DurationEstimator,
        private readonly attribution: FailureAttribution,
    ) {}

    /** Stops reported runs of jobs that have ended. */
    stopEndedJobs(worker: TrackedWorker): void {
        for (const task of worker.tasks) {
            if (task.step.occurrence.job.isFinished) {
                this.orders.sendStop(task, worker, "job-ended");
            }
        }
    }

    /**
     * Stops stalled tasks, to be started on another worker, and counts the stall as a failed run of the worker. Does
     * nothing if only best-effort tasks have stalled, since these may lack leftover CPU.
     */
    stopStalled(worker: TrackedWorker): void {
        const { clock, logger } = this.parts;
        const nowMs = clock.getNow();
        const stalled = findStalled(worker.tasks, nowMs, task => this.estimateTask(task));
        const notBestEffort = stalled.filter(task => !task.step.spec.isBestEffort);
        if (notBestEffort.length === 0) {
            return;
        }
        this.attribution.noteStalledRuns(worker, notBestEffort);
        logger.warn("worker-stalls", { worker: worker.entry.id, stalled: stalled.length, tasks: worker.tasks.size });
        stalled.forEach(task => {
            task.lastFailedWorkerId = worker.entry.id;
            this.orders.sendStop(task, worker, "stalled");
        });
    }

    private estimateTask(task: Task): number {
        return this.durations.estimateDuration(task.step.occurrence.job.queue.name, task.step.spec);
    }

    /**
     * Stops tasks on a draining worker, to be started on another one: long-running tasks at once, and tasks that save
     * their progress if they would not finish in time.
     */
    drainWorker(worker: TrackedWorker): void {
        for (const task of worker.tasks) {
            const { spec } = task.step;
            if (task.phase !== TaskPhase.Running || spec.gang) {
                continue;
            }
            const leftMs = this.estimateTask(task) * (1 - task.percent / 100);
            const isCutOff = leftMs > worker.entry.remainingMs;
            if (spec.longRunning || (spec.savesProgress && isCutOff)) {
                this.orders.sendStop(task, worker, "worker-leaves");
            }
        }
    }
}
