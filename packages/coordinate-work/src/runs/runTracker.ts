import type { ActiveRun, EndedRun, LeaseReport } from "@sardinestage/describe-ports";
import type { TaskRef } from "@sardinestage/describe-work";
import { formatTaskKey, RunEnd } from "@sardinestage/describe-work";
import type { Job, Task } from "@sardinestage/track-jobs";
import { applyRunEnd, applyRunLost, applyRunStart, TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { DurationEstimator } from "../jobs/durationEstimator.js";
import type { JobRegistry } from "../jobs/jobRegistry.js";
import type { OrderSender } from "../orders/orderSender.js";
import type { ProgressWriter } from "../records/progressWriter.js";
import type { ReportRequest } from "../renewals/reportRequest.js";
import type { FailureAttribution } from "../workers/failureAttribution.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { compareRuns } from "./compareRuns.js";
import { CopyTracker } from "./copyTracker.js";
import { describeRunTimes } from "./describeRunTimes.js";
import { reportExpiredLeases } from "./reportExpiredLeases.js";

/** Dependencies of a run tracker. */
interface RunTrackerParts {
    readonly jobs: JobRegistry;
    readonly writer: ProgressWriter;
    readonly orders: OrderSender;
    readonly durations: DurationEstimator;
    readonly attribution: FailureAttribution;
    readonly findWorker: (workerId: string) => TrackedWorker | undefined;
    /** Called for each job whose progress has changed. */
    readonly noteChanged: (job: Job) => void;
}

/** Applies the workers' reports to the jobs: which runs are active, which have ended and which are lost. */
export class RunTracker {
    /** Handles the ends of copies, and starts that weren't carried out. */
    readonly copies: CopyTracker;

    constructor(private readonly parts: CoordinatorParts, private readonly collaborators: RunTrackerParts) {
        this.copies = new CopyTracker(parts, collaborators);
    }

    /**
     * Applies a worker's lease report.
     *
     * @param request The lease renewal that the report answers.
     */
    applyReport(worker: TrackedWorker, report: LeaseReport, request: ReportRequest): void {
        const nowMs = this.parts.clock.getNow();
        this.applyUnappliedEnds(worker);
        const isRestarted = worker.bornMs !== 0 && worker.bornMs !== report.bornMs;
        this.handleNewLife(worker, report, request);
        reportExpiredLeases(this.parts, worker, report.ended);
        worker.clockMs = report.clockMs;
        worker.answeredAtMs = request.receivedAtMs;
        [...report.ended, ...report.running].forEach(row => this.collaborators.jobs.openReportedOccurrence(row.task));
        this.applyEnds(worker, report.ended);
        const difference = compareRuns(
            worker.tasks,
            report,
            request,
            row => this.findTask(worker, row),
        );
        difference.matched.forEach(({ task, row }) => this.updateTask(task, row, nowMs));
        difference.matched.forEach(({ task }) => this.copies.stopUnneeded(task));
        difference.adopted.forEach(({ task, row }) => this.acceptRun(task, row, worker, nowMs));
        worker.strayRuns.clear();
        difference.unneeded.forEach(row => this.stopUnneeded(row, worker));
        const lostReason = isRestarted ? "worker-reborn" : "not-listed";
        difference.lost.forEach(task => this.handleLostRun(task, worker, lostReason, request.sentAtMs));
        difference.uncertain.forEach(task => this.collaborators.orders.cancelUnansweredStart(task, worker));
        worker.hasReported = true;
        this.collaborators.attribution.updateActiveRuns(worker);
    }

    /**
     * Applies the ends that the worker has told in answers which weren't applied as reports. Ends of jobs that weren't
     * read yet stay. Only a report has ends acknowledged.
     */
    applyUnappliedEnds(worker: TrackedWorker): void {
        const { jobs } = this.collaborators;
        for (const { bornMs, row } of worker.unappliedEnds.take(({ task }) => jobs.isKnown(task.jobId))) {
            if (bornMs !== worker.bornMs || row.number > worker.appliedEndNumber) {
                jobs.openReportedOccurrence(row.task);
                this.applyEnd(worker, row);
            }
        }
    }

    /**
     * Handles the loss of a task's newest run: the run isn't active, and no end was reported for it.
     *
     * @param askedAtMs When the report was asked for that shows the loss, in steady milliseconds; undefined if no report
     *   does.
     */
    handleLostRun(task: Task, worker: TrackedWorker, reason: string, askedAtMs?: number): void {
        worker.tasks.delete(task);
        this.parts.metrics.count("runs_lost_total", reason);
        this.parts.logger.warn("run-lost", {
            task: formatTaskKey(task.ref),
            run: task.run,
            worker: worker.entry.id,
            reason,
            phase: TaskPhase[task.phase],
            ...describeRunTimes(task, worker, this.parts.clock.getNow(), askedAtMs),
        });
        if (task.original !== undefined) {
            this.copies.reportEnd(task, worker, "lost");
        }
        applyRunLost(task);
        this.collaborators.noteChanged(task.step.occurrence.job);
    }

    /** Begins to follow a life of the worker that hasn't reported before. */
    private handleNewLife(worker: TrackedWorker, report: LeaseReport, request: ReportRequest): void {
        if (worker.bornMs === report.bornMs) {
            return;
        }
        if (worker.bornMs !== 0) {
            this.parts.logger.warn("worker-reborn", {
                worker: worker.entry.id,
                bornMs: report.bornMs,
                formerBornMs: worker.bornMs,
                askedMsAgo: Math.round(this.parts.clock.getNow() - request.sentAtMs),
                fence: request.fence,
                tasks: worker.tasks.size,
            });
            worker.tasks.forEach(task => withdrawStop(task, request.fence));
        }
        // Starts state the end of the lease on the earlier clock, which the new process shortens to the longest lease.
        worker.reset(report.bornMs, report.clockMs + this.parts.rules.maxLeaseMs);
    }

    private applyEnds(worker: TrackedWorker, ended: readonly EndedRun[]): void {
        const newEnds = ended.filter(row => row.number > worker.appliedEndNumber);
        if (newEnds.length === 0) {
            return;
        }
        const { bornMs, unappliedEnds } = worker;
        newEnds.filter(row => !unappliedEnds.hasTaken(bornMs, row)).forEach(row => this.applyEnd(worker, row));
        const lastNumber = Math.max(...newEnds.map(row => row.number));
        worker.appliedEndNumber = lastNumber;
        this.collaborators.writer.runWhenRecorded(() => {
            if (worker.bornMs === bornMs) {
                worker.recordedEndNumber = Math.max(worker.recordedEndNumber, lastNumber);
                worker.wakeRenewal?.();
            }
        }, false);
    }

    private applyEnd(worker: TrackedWorker, row: EndedRun): void {
        const task = this.findTask(worker, row);
        this.parts.metrics.count("run_ends_total", RunEnd[row.end]);
        if (task === undefined) {
            return;
        }
        const { job } = task.step.occurrence;
        const fields = { task: formatTaskKey(row.task), run: row.run, worker: worker.entry.id };
        this.parts.logger.info("run-end", { ...fields, end: RunEnd[row.end], number: row.number });
        this.updateWorkerHealth(worker, task, row);
        if (task.original !== undefined) {
            this.copies.applyEnd(worker, task, task.original, row);
            return;
        }
        const activeBefore = this.listActiveRuns(task, row.end);
        const isHere = worker.tasks.has(task) && row.run === task.run;
        const isElsewhere = task.isActive && !isHere && row.run <= task.run;
        if (isElsewhere && row.end !== RunEnd.Done && row.end !== RunEnd.Failed) {
            return;
        }
        const assignedWorker = this.collaborators.findWorker(task.workerId);
        if (isElsewhere && row.end === RunEnd.Done) {
            this.parts.metrics.count("runs_done_late_total", "run");
            this.parts.logger.warn("run-done-late", { ...fields, newestRun: task.run, newestWorker: task.workerId });
        }
        const isDuplicate = isElsewhere && row.run === task.run;
        const isCopy = task.isActive && row.run > task.run && row.run <= task.lastCopyRun;
        applyRunEnd(task, { ...row, isDuplicate, isCopy }, this.parts.clock.getWallTime());
        if (row.end === RunEnd.Failed) {
            task.lastFailedWorkerId = worker.entry.id;
        }
        if (!task.isActive) {
            worker.tasks.delete(task);
            assignedWorker?.tasks.delete(task);
        }
        this.stopOtherRuns(activeBefore, row);
        this.copies.stopUnneeded(task.copy);
        this.collaborators.noteChanged(job);
    }

    /** Finds the task of a reported run: the copy that the worker has, if the run is one. */
    private findTask(worker: TrackedWorker, row: ActiveRun | EndedRun): Task | undefined {
        return this.copies.findCopy(worker, row) ?? this.collaborators.jobs.findTask(row.task);
    }

    /** Lists the active runs of the task, or of its whole gang, that aren't needed after a successful end. */
    private listActiveRuns(task: Task, end: RunEnd): { task: Task; workerId: string; run: number }[] {
        if (end !== RunEnd.Done) {
            return [];
        }
        const members = task.step.spec.gang ? [...task.step.listKnown()] : [task];
        return members.filter(member => member.isActive)
            .map(member => ({ task: member, workerId: member.workerId, run: member.run }));
    }

    private stopOtherRuns(activeBefore: { task: Task; workerId: string; run: number }[], row: EndedRun): void {
        for (const { task, workerId, run } of activeBefore) {
            const worker = this.collaborators.findWorker(workerId);
            if (task.phase !== TaskPhase.Done || worker === undefined) {
                continue;
            }
            worker.tasks.delete(task);
            if (run !== row.run) {
                this.stopStray(task.ref, run, worker);
            }
        }
    }

    private updateWorkerHealth(worker: TrackedWorker, task: Task, row: EndedRun): void {
        const nowMs = this.parts.clock.getNow();
        const { job } = task.step.occurrence;
        if (row.end === RunEnd.Done) {
            const isTelling = row.run === task.run && worker.recentEnds.noteDone(task.orderedAtMs, nowMs);
            this.collaborators.attribution.noteDoneRun(worker, task, isTelling);
            if (task.firstSeenAtMs > 0 && task.checkpoint === "" && task.pace === 100 && row.run === task.run) {
                this.collaborators.durations.learnDuration(job.queue.name, task.step.spec, nowMs - task.orderedAtMs);
            }
        }
        if (row.end === RunEnd.Done && row.run === task.run) {
            this.learnSpread(worker, task, nowMs);
        }
        if (row.end === RunEnd.Failed) {
            this.collaborators.attribution.noteFailedRun(worker, task);
        }
    }

    /**
     * Learns how the duration of a run that is done compares with what was expected. Runs that were adopted are left out,
     * as their beginning isn't known, and those that had a head start or were slowed down by order.
     */
    private learnSpread(worker: TrackedWorker, task: Task, nowMs: number): void {
        const { copiesSlowTasks, protectsLastAttempts, prefersFastWorkers } = this.parts.rules.features;
        const isAdopted = task.orderedAtMs === task.firstSeenAtMs;
        const isUsual = task.isActive && !isAdopted && task.checkpoint === "" && task.pace === 100;
        if (isUsual && (copiesSlowTasks || protectsLastAttempts || prefersFastWorkers)) {
            const { step } = task;
            const { queue } = step.occurrence.job;
            const ratio = this.collaborators.durations.learnSpread(queue.name, step.spec, nowMs - task.orderedAtMs);
            worker.slowness.learnRatio(ratio, nowMs);
        }
    }

    private updateTask(task: Task, row: ActiveRun, nowMs: number): void {
        if (task.phase === TaskPhase.Ordered) {
            task.phase = TaskPhase.Running;
            task.isStartUnconfirmed = false;
            task.orderSettledAtMs = Math.min(task.orderSettledAtMs, nowMs);
        }
        task.listedAtMs = nowMs;
        if (task.firstSeenAtMs === 0) {
            task.firstSeenAtMs = nowMs;
            task.progressAtMs = nowMs;
        }
        if (row.percent !== task.percent) {
            task.percent = row.percent;
            task.progressAtMs = nowMs;
        }
        if (row.checkpoint !== "") {
            task.checkpoint = row.checkpoint;
        }
        task.measurement = row.measurement;
    }

    private acceptRun(task: Task, row: ActiveRun, worker: TrackedWorker, nowMs: number): void {
        const { job } = task.step.occurrence;
        const fields = { task: formatTaskKey(row.task), run: row.run, worker: worker.entry.id };
        this.parts.logger.info("run-adopted", { ...fields, instead: task.isActive ? task.run : undefined });
        this.releaseEarlierRun(task, worker);
        applyRunStart(task, worker.entry.id, row.run, nowMs);
        task.orderFence = worker.life.fence;
        worker.tasks.add(task);
        this.updateTask(task, row, nowMs);
        this.collaborators.noteChanged(job);
    }

    /** Leaves a task's earlier run, if it may be active on another worker, to that worker's next report. */
    private releaseEarlierRun(task: Task, worker: TrackedWorker): void {
        const earlier = this.collaborators.findWorker(task.workerId);
        if (earlier?.tasks.delete(task) === true && earlier !== worker) {
            earlier.strayRuns.add(formatRunKey(task.ref, task.run));
        }
    }

    private stopUnneeded(row: ActiveRun, worker: TrackedWorker): void {
        const task = this.findTask(worker, row);
        if (task !== undefined && worker.tasks.has(task) && task.run <= row.run) {
            return;
        }
        if (task?.isActive === true && task.run !== row.run) {
            this.reportDuplicate(task, row, worker);
        }
        this.stopStray(row.task, row.run, worker);
    }

    /** Logs that an earlier run of a task is still active beside its newest one. */
    private reportDuplicate(task: Task, row: ActiveRun, worker: TrackedWorker): void {
        this.parts.metrics.count(
            "runs_duplicate_total",
            task.workerId === worker.entry.id ? "same-worker" : "other-worker",
        );
        this.parts.logger.warn("run-duplicate", {
            task: formatTaskKey(row.task),
            run: row.run,
            worker: worker.entry.id,
            newestRun: task.run,
            newestWorker: task.workerId,
            phase: TaskPhase[task.phase],
        });
    }

    /** Stops a run that no task needs. It counts on the worker until a report without it. */
    private stopStray(ref: TaskRef, run: number, worker: TrackedWorker): void {
        worker.strayRuns.add(formatRunKey(ref, run));
        this.collaborators.orders.sendStrayStop(ref, run, worker);
    }
}

/** Forgets a stop order to a former life of the worker: if the run is active in the next life, nothing stops it there. */
function withdrawStop(task: Task, fence: number): void {
    if (task.phase === TaskPhase.Stopping && task.orderFence < fence) {
        task.phase = TaskPhase.Running;
    }
}

function formatRunKey(ref: TaskRef, run: number): string {
    return `${formatTaskKey(ref)}#${run}`;
}
