import type { ActiveRun, EndedRun } from "@sardinestage/describe-ports";
import { formatTaskKey, RunEnd } from "@sardinestage/describe-work";
import type { Job, Task } from "@sardinestage/track-jobs";
import { applyRunEnd, applyRunLost, createRemainder, TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { OrderSender } from "../orders/orderSender.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";

/** Dependencies of a copy tracker. */
interface CopyTrackerParts {
    readonly orders: Pick<OrderSender, "sendStop">;
    readonly findWorker: (workerId: string) => TrackedWorker | undefined;
    /** Called for each job whose progress has changed. */
    readonly noteChanged: (job: Job) => void;
}

/** Applies the ends of copies, and stops the runs of copied tasks that aren't needed any more. */
export class CopyTracker {
    constructor(private readonly parts: CoordinatorParts, private readonly collaborators: CopyTrackerParts) {}

    /** Finds the copy that a reported run is on its worker; undefined if it is none. */
    findCopy(worker: TrackedWorker, row: ActiveRun | EndedRun): Task | undefined {
        if (!this.parts.rules.features.copiesSlowTasks) {
            return undefined;
        }
        for (const task of worker.tasks) {
            if (
                task.original !== undefined && task.run === row.run
                && formatTaskKey(task.ref) === formatTaskKey(row.task)
            ) {
                return task;
            }
        }
        return undefined;
    }

    /** Applies the end of a copy, or of the run that a copy has outrun. The first end as done counts. */
    applyEnd(worker: TrackedWorker, copy: Task, task: Task, row: EndedRun): void {
        const hasWon = row.end === RunEnd.Done && task.phase !== TaskPhase.Done;
        const remainder = hasWon && task.isActive ? createRemainder(task) : undefined;
        const otherWorker = this.collaborators.findWorker(task.workerId);
        worker.tasks.delete(copy);
        this.reportEnd(copy, worker, hasWon ? "won" : RunEnd[row.end]);
        applyRunEnd(task, { ...row, isCopy: true }, this.parts.clock.getWallTime());
        applyRunLost(copy);
        if (row.end === RunEnd.Failed) {
            task.lastFailedWorkerId = worker.entry.id;
        }
        if (remainder !== undefined && otherWorker !== undefined) {
            otherWorker.tasks.delete(task);
            otherWorker.tasks.add(remainder);
            this.stopUnneeded(remainder);
        }
        else if (remainder !== undefined) {
            applyRunLost(remainder);
        }
        this.collaborators.noteChanged(task.step.occurrence.job);
    }

    /** Stops a copy, or the run that a copy has outrun, if its task is done. */
    stopUnneeded(copy: Task | undefined): void {
        // Called with each run of each report, almost none of which is a copy.
        if (copy?.original?.phase !== TaskPhase.Done) {
            return;
        }
        const worker = this.collaborators.findWorker(copy.workerId);
        if (worker !== undefined) {
            this.collaborators.orders.sendStop(copy, worker, "copy-unneeded");
        }
    }

    /**
     * Handles a task's run, a copy or its own, that certainly didn't start.
     *
     * @param wasSent Whether the worker refused the start; false if the start wasn't sent.
     */
    handleNotStarted(task: Task, worker: TrackedWorker, wasSent: boolean): void {
        worker.tasks.delete(task);
        if (task.original !== undefined) {
            this.reportEnd(task, worker, wasSent ? "refused" : "never-sent");
        }
        applyRunLost(task);
        this.collaborators.noteChanged(task.step.occurrence.job);
    }

    /** Counts and logs the end of a copy. */
    reportEnd(copy: Task, worker: TrackedWorker, result: string): void {
        const fields = { task: formatTaskKey(copy.ref), run: copy.run, worker: worker.entry.id, result };
        this.parts.metrics.count("copies_ended_total", result);
        this.parts.logger.info("copy-ended", fields);
    }
}
