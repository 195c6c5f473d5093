import type { EndedRow, HoldAnswer, RunningRow } from "@sardinestage/describe-ports";
import { formatTaskKey, RunEnd } from "@sardinestage/describe-work";
import type { Job, Task } from "@sardinestage/track-jobs";
import { applyRunEnd, applyRunLost, applyRunStart, TaskPhase } from "@sardinestage/track-jobs";
import { compareRuns } from "./compareRuns.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import type { DurationBook } from "./durationBook.js";
import { finishProbation } from "./finishProbation.js";
import type { JobBook } from "./jobBook.js";
import type { OrderDesk } from "./orderDesk.js";
import { noteFailedRun } from "./probation.js";
import type { ProgressWriter } from "./progressWriter.js";
import type { WorkerLink } from "./workerLink.js";

/** Dependencies of a run tracker. */
interface RunBookParts {
    readonly jobs: JobBook;
    readonly writer: ProgressWriter;
    readonly orders: OrderDesk;
    readonly durations: DurationBook;
    readonly findLink: (workerId: string) => WorkerLink | undefined;
    /** Called for each job whose progress has changed. */
    readonly noteChanged: (job: Job) => void;
}

/** Applies the workers' reports to the jobs: which runs are active, which have ended and which are lost. */
export class RunBook {
    constructor(private readonly parts: CoordinatorParts, private readonly book: RunBookParts) {}

    /**
     * Applies a worker's lease report.
     *
     * @param sentAtMs When the lease renewal was sent, in steady milliseconds.
     * @param receivedAtMs When the report arrived, in steady milliseconds.
     */
    takeAnswer(link: WorkerLink, answer: HoldAnswer, sentAtMs: number, receivedAtMs: number): void {
        const nowMs = this.parts.clock.getNow();
        this.noteLife(link, answer);
        this.reportLapses(link, answer.ended, nowMs);
        link.clockMs = answer.clockMs;
        link.clockAtMs = receivedAtMs;
        [...answer.ended, ...answer.running].forEach(row => this.book.jobs.openListed(row.task));
        this.takeEnds(link, answer.ended);
        const difference = compareRuns(link.tasks, answer, sentAtMs, row => this.book.jobs.findTask(row.task));
        difference.matched.forEach(({ task, row }) => this.updateTask(task, row, nowMs));
        difference.adopted.forEach(({ task, row }) => this.acceptRun(task, row, link, nowMs));
        difference.strays.forEach(row => this.stopStray(row, link));
        difference.lost.forEach(task => this.dropRun(task, link, "not-listed"));
        difference.uncertain.forEach(task => this.book.orders.sendVoid(task, link));
        link.isHeld = true;
    }

    /** Handles the loss of a task's newest run: the run isn't active, and no end was reported for it. */
    dropRun(task: Task, link: WorkerLink, reason: string): void {
        link.tasks.delete(task);
        this.parts.metrics.count("runs_lost_total", reason);
        const fields = { task: formatTaskKey(task.ref), run: task.run, worker: link.entry.id, reason };
        this.parts.logger.warn("run-lost", fields);
        applyRunLost(task);
        this.book.noteChanged(task.step.occurrence.job);
    }

    /** Logs runs whose lease expired in one line per worker, so that they aren't lost among many ordinary ends. */
    private reportLapses(link: WorkerLink, ended: readonly EndedRow[], nowMs: number): void {
        const lapsed = ended.filter(row => row.number > link.appliedEnd && row.end === RunEnd.Lapsed);
        if (lapsed.length === 0) {
            return;
        }
        this.parts.metrics.count("leases_lapsed_total", "run", lapsed.length);
        this.parts.logger.warn("leases-lapsed", {
            worker: link.entry.id,
            runs: lapsed.length,
            first: formatTaskKey(lapsed[0].task),
            heardMsAgo: link.isHeld ? Math.round(nowMs - link.clockAtMs) : undefined,
        });
    }

    private noteLife(link: WorkerLink, answer: HoldAnswer): void {
        if (link.bornMs === answer.bornMs) {
            return;
        }
        if (link.bornMs !== 0) {
            this.parts.logger.warn("worker-reborn", {
                worker: link.entry.id,
                bornMs: answer.bornMs,
                tasks: link.tasks.size,
            });
            for (const task of [...link.tasks]) {
                if (task.settledAtMs !== Infinity) {
                    this.dropRun(task, link, "worker-reborn");
                }
            }
        }
        link.reset(answer.bornMs);
    }

    private takeEnds(link: WorkerLink, ended: readonly EndedRow[]): void {
        const fresh = ended.filter(row => row.number > link.appliedEnd);
        if (fresh.length === 0) {
            return;
        }
        fresh.forEach(row => this.applyEnd(link, row));
        const last = Math.max(...fresh.map(row => row.number));
        link.appliedEnd = last;
        const { bornMs } = link;
        this.book.writer.waitRecorded(() => {
            if (link.bornMs === bornMs) {
                link.recordedEnd = Math.max(link.recordedEnd, last);
                link.wakeHold?.();
            }
        }, false);
    }

    private applyEnd(link: WorkerLink, row: EndedRow): void {
        const task = this.book.jobs.findTask(row.task);
        this.parts.metrics.count("run_ends_total", RunEnd[row.end]);
        if (task === undefined) {
            return;
        }
        const { job } = task.step.occurrence;
        const fields = { task: formatTaskKey(row.task), run: row.run, worker: link.entry.id };
        this.parts.logger.info("run-end", { ...fields, end: RunEnd[row.end], number: row.number });
        this.learnSoundness(link, task, row);
        const activeBefore = this.listActive(task, row.end);
        const isHere = link.tasks.has(task) && row.run === task.run;
        const isElsewhere = task.isActive && !isHere && row.run <= task.run;
        if (isElsewhere && row.end !== RunEnd.Done && row.end !== RunEnd.Failed) {
            return;
        }
        const believed = this.book.findLink(task.workerId);
        applyRunEnd(task, row, this.parts.clock.getWallTime());
        if (!task.isActive) {
            link.tasks.delete(task);
            believed?.tasks.delete(task);
        }
        this.releaseFinished(activeBefore, row);
        this.book.noteChanged(job);
    }

    /** Lists the active runs of the task, or of its whole gang, that aren't needed after a successful end. */
    private listActive(task: Task, end: RunEnd): { task: Task; workerId: string; run: number }[] {
        if (end !== RunEnd.Done) {
            return [];
        }
        const members = task.step.spec.gang ? task.step.tasks : [task];
        return members.filter(member => member.isActive)
            .map(member => ({ task: member, workerId: member.workerId, run: member.run }));
    }

    private releaseFinished(before: { task: Task; workerId: string; run: number }[], row: EndedRow): void {
        for (const { task, workerId, run } of before) {
            const link = this.book.findLink(workerId);
            if (task.phase !== TaskPhase.Done || link === undefined) {
                continue;
            }
            link.tasks.delete(task);
            if (run !== row.run) {
                this.book.orders.sendStrayStop(task.ref, run, link);
            }
        }
    }

    private learnSoundness(link: WorkerLink, task: Task, row: EndedRow): void {
        const nowMs = this.parts.clock.getNow();
        const { job } = task.step.occurrence;
        if (row.end === RunEnd.Done) {
            finishProbation(link);
            if (task.seenAtMs > 0 && task.checkpoint === "" && task.pace === 100 && row.run === task.run) {
                this.book.durations.learnDuration(job.queue.name, task.step.spec, nowMs - task.orderedAtMs);
            }
        }
        if (row.end === RunEnd.Failed && noteFailedRun(link, job.id, nowMs)) {
            this.parts.metrics.count("probations_total", "failures");
            const untilMs = Math.round(link.probationUntilMs - nowMs);
            this.parts.logger.warn("worker-probation", { worker: link.entry.id, reason: "failures", untilMs });
        }
    }

    private updateTask(task: Task, row: RunningRow, nowMs: number): void {
        if (task.phase === TaskPhase.Ordered) {
            task.phase = TaskPhase.Running;
            task.isUncertain = false;
            task.settledAtMs = Math.min(task.settledAtMs, nowMs);
        }
        if (task.seenAtMs === 0) {
            task.seenAtMs = nowMs;
            task.progressAtMs = nowMs;
        }
        if (row.percent !== task.percent) {
            task.percent = row.percent;
            task.progressAtMs = nowMs;
        }
        if (row.checkpoint !== "") {
            task.checkpoint = row.checkpoint;
        }
        task.figure = row.figure;
    }

    private acceptRun(task: Task, row: RunningRow, link: WorkerLink, nowMs: number): void {
        const { job } = task.step.occurrence;
        const fields = { task: formatTaskKey(row.task), run: row.run, worker: link.entry.id };
        this.parts.logger.info("run-adopted", { ...fields, instead: task.isActive ? task.run : undefined });
        this.book.findLink(task.workerId)?.tasks.delete(task);
        applyRunStart(task, link.entry.id, row.run, nowMs);
        link.tasks.add(task);
        this.updateTask(task, row, nowMs);
        this.book.noteChanged(job);
    }

    private stopStray(row: RunningRow, link: WorkerLink): void {
        const task = this.book.jobs.findTask(row.task);
        if (task !== undefined && link.tasks.has(task) && task.run <= row.run) {
            return;
        }
        this.book.orders.sendStrayStop(row.task, row.run, link);
    }
}
