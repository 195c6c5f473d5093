import type { HoldAnswer, KeyedRecord, OrderOutcome } from "@sardinestage/describe-ports";
import { AppendOutcome, Topic } from "@sardinestage/describe-ports";
import { JobState, WorkerState } from "@sardinestage/describe-work";
import { TopicFollower } from "@sardinestage/follow-topic";
import type { Job, Task } from "@sardinestage/track-jobs";
import { applyCancel, applyRunLost, CANCEL_SUFFIX, TaskPhase } from "@sardinestage/track-jobs";
import { AdviceBook } from "./adviceBook.js";
import { buildRooms } from "./buildRooms.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { DurationBook } from "./durationBook.js";
import { findStalled } from "./findStalled.js";
import { Fleet } from "./fleet.js";
import { HoldLoop } from "./holdLoop.js";
import { JobBook } from "./jobBook.js";
import { IDLE_ROUND_MS, ROUND_DELAY_MS } from "./limits.js";
import { OrderDesk } from "./orderDesk.js";
import { PaceDesk } from "./paceDesk.js";
import { noteFailedRun } from "./probation.js";
import { ProgressWriter } from "./progressWriter.js";
import { RunBook } from "./runBook.js";
import type { WorkerLink } from "./workerLink.js";
import { WorkRound } from "./workRound.js";

/** How long a read of accepted jobs waits for the next one, in milliseconds. */
const JOBS_WAIT_MS = 10_000;
/** Pause between two reads of accepted jobs, in milliseconds: a burst comes in few reads. */
const JOBS_PAUSE_MS = 10;
/** Pause between two reads of the workers' list, in milliseconds. */
const WORKERS_PAUSE_MS = 400;
/** After so long the first round begins although some workers haven't answered, in milliseconds. */
const FIRST_ROUND_AFTER_MS = 300;
/** Time between two clean-ups of what has ended, in milliseconds. */
const CLEAN_UP_MS = 2000;

/** Holds all workers for one term and gets the accepted jobs done. */
export class Coordinator {
    private readonly jobs = new JobBook();
    private readonly durations = new DurationBook();
    private readonly writer: ProgressWriter;
    private readonly orders: OrderDesk;
    private readonly runs: RunBook;
    private readonly pace: PaceDesk;
    private readonly advice: AdviceBook;
    private readonly fleet: Fleet;
    private readonly round: WorkRound;
    private readonly jobsFollower: TopicFollower;
    private readonly workersFollower: TopicFollower;
    /** Jobs whose end is recorded, so that callers may be told of it. */
    private readonly recordedEnds = new Set<string>();
    /** Records of accepted jobs that are no longer needed. */
    private readonly needless = new Set<string>();
    private isClosed = false;
    private isOpen = false;
    private readonly openedAtMs: number;
    private cancelRound: (() => void) | undefined;
    private roundAtMs = Infinity;

    constructor(private readonly parts: CoordinatorParts) {
        this.openedAtMs = parts.clock.getNow();
        this.writer = new ProgressWriter(parts);
        this.advice = new AdviceBook(parts, () => this.scheduleRound(ROUND_DELAY_MS));
        this.orders = new OrderDesk(parts, {
            noteNotStarted: (task, link, outcome) => this.handleNotStarted(task, link, outcome),
            noteStarted: link => this.pace.handleFigures(link),
            isClosed: () => this.isClosed,
            getTicket: (task, workerId) => this.advice.getTicket(task, workerId),
        });
        this.fleet = new Fleet(parts, {
            noteWorker: link => this.startHolding(link),
            noteDraining: link => this.drainWorker(link),
        });
        this.runs = new RunBook(parts, {
            jobs: this.jobs,
            writer: this.writer,
            orders: this.orders,
            durations: this.durations,
            findLink: workerId => this.fleet.links.get(workerId),
            noteChanged: job => this.handleChange(job),
        });
        this.pace = new PaceDesk(parts, this.orders);
        this.round = new WorkRound(parts, {
            jobs: this.jobs,
            fleet: this.fleet,
            writer: this.writer,
            orders: this.orders,
            runs: this.runs,
            advice: this.advice,
            pace: this.pace,
            durations: this.durations,
        });
        const shared = { store: parts.store, clock: parts.clock, logger: parts.logger };
        this.jobsFollower = new TopicFollower({
            ...shared,
            topic: Topic.Jobs,
            name: "jobs",
            waitMs: JOBS_WAIT_MS,
            pauseMs: JOBS_PAUSE_MS,
            takeRecord: record => this.takeJobRecord(record),
        });
        this.workersFollower = new TopicFollower({
            ...shared,
            topic: Topic.Workers,
            name: "workers",
            waitMs: 0,
            pauseMs: WORKERS_PAUSE_MS,
            takeRecord: record => this.fleet.takeRecord(record),
        });
    }

    /**
     * Takes over from earlier coordinators: shuts them out of the store, reads where everything stands and begins to
     * hold the workers.
     *
     * @returns False when the store didn't let it; then it may be tried again.
     */
    async open(): Promise<boolean> {
        const { clock, logger, term } = this.parts;
        const pending = new Map<string, Uint8Array>();
        const jobRecords: KeyedRecord[] = [];
        const progress = new TopicFollower({
            store: this.parts.store,
            clock,
            logger,
            topic: Topic.Progress,
            name: "progress",
            waitMs: 0,
            pauseMs: 0,
            takeRecord: record => this.jobs.takeProgress(record, pending),
        });
        this.takeoverRecords = jobRecords;
        const isWriter = await this.writer.open();
        const loads = isWriter
            ? await Promise.all([progress.load(), this.jobsFollower.load(), this.workersFollower.load()])
            : [false];
        if (loads.includes(false) || this.isClosed) {
            return false;
        }
        this.takeoverRecords = undefined;
        jobRecords.forEach(record => this.takeJobRecord(record, pending));
        this.isOpen = true;
        logger.info("takeover", {
            term,
            jobs: this.jobs.live.size,
            workers: this.fleet.links.size,
            tookMs: Math.round(clock.getNow() - this.openedAtMs),
        });
        void this.jobsFollower.run();
        void this.workersFollower.run();
        this.fleet.links.forEach(link => this.startHolding(link));
        this.scheduleRound(ROUND_DELAY_MS);
        this.scheduleCleanUp();
        return true;
    }

    /** Ends this term here: no further order is sent. */
    close(): void {
        this.isClosed = true;
        this.writer.close();
        this.jobsFollower.close();
        this.workersFollower.close();
        this.cancelRound?.();
    }

    /** Whether the takeover is complete, so that questions can be answered. */
    get isReady(): boolean {
        return this.isOpen && !this.isClosed;
    }

    /**
     * Tells a job's state.
     *
     * @returns The state; undefined for a job that certainly was never accepted; or `"unknown"` while that isn't sure.
     */
    async getState(id: string): Promise<JobState | undefined | "unknown"> {
        const known = this.findState(id);
        if (known !== undefined) {
            return known;
        }
        const isFresh = await this.jobsFollower.refresh();
        return this.findState(id) ?? (isFresh ? undefined : "unknown");
    }

    /** Counts the accepted jobs of a queue of which nothing has run yet. */
    getPending(queue: string): number {
        return this.jobs.getPending(queue);
    }

    /** Takes a cancellation that is in the store, ahead of reading it there. */
    cancelJob(id: string): void {
        const job = this.jobs.takeCancel(id);
        if (job === undefined || !applyCancel(job, this.parts.clock.getWallTime())) {
            return;
        }
        this.parts.logger.info("job-cancelled", { job: id });
        this.handleChange(job);
    }

    private takeoverRecords: KeyedRecord[] | undefined;

    private findState(id: string): JobState | undefined {
        const job = this.jobs.live.get(id);
        if (job === undefined) {
            return this.jobs.finished.get(id)?.state;
        }
        const isHidden = job.isFinished && !this.recordedEnds.has(id) && job.state !== JobState.Cancelled;
        return isHidden ? JobState.Running : job.state;
    }

    private takeJobRecord(record: KeyedRecord, pending?: ReadonlyMap<string, Uint8Array>): void {
        if (this.takeoverRecords !== undefined) {
            this.takeoverRecords.push(record);
            return;
        }
        const cancelled = JobBook.parseCancelKey(record.key);
        if (cancelled !== undefined) {
            if (record.value !== undefined) {
                this.cancelJob(cancelled);
            }
            return;
        }
        const job = this.takeJob(record, pending?.get(record.key));
        if (job === undefined) {
            return;
        }
        this.linkActiveTasks(job);
        if (this.jobs.isCancelledEarly(job.id)) {
            this.cancelJob(job.id);
        }
        this.scheduleRound(ROUND_DELAY_MS);
    }

    private takeJob(record: KeyedRecord, progress: Uint8Array | undefined): Job | undefined {
        try {
            const job = this.jobs.takeJob(record, progress);
            if (job === undefined) {
                if (record.value !== undefined && this.jobs.finished.has(record.key)) {
                    this.needless.add(record.key);
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

    private linkActiveTasks(job: Job): void {
        for (const occurrence of job.open.values()) {
            for (const step of occurrence.steps) {
                step.tasks.filter(task => task.isActive).forEach(task => {
                    this.fleet.getOrAddLink(task.workerId).tasks.add(task);
                });
            }
        }
    }

    private startHolding(link: WorkerLink): void {
        if (!this.isOpen || link.entry.address === "") {
            return;
        }
        const loop = new HoldLoop(this.parts, link, {
            takeAnswer: (held, answer, sentAtMs) => this.handleAnswer(held, answer, sentAtMs),
            isOver: held => this.isClosed || this.fleet.links.get(held.entry.id) !== held,
        });
        void loop.run();
    }

    private handleAnswer(link: WorkerLink, answer: HoldAnswer, sentAtMs: number): void {
        this.runs.takeAnswer(link, answer, sentAtMs);
        this.stopUnwanted(link);
        this.pace.handleFigures(link);
        this.judgeProgress(link);
        if (link.entry.state === WorkerState.Draining) {
            this.drainWorker(link);
        }
        this.scheduleRound(ROUND_DELAY_MS);
    }

    /** Runs of jobs that have come to their end are stopped as soon as they are settled. */
    private stopUnwanted(link: WorkerLink): void {
        for (const task of link.tasks) {
            if (task.step.occurrence.job.isFinished) {
                this.orders.sendStop(task, link, "job-ended");
            }
        }
    }

    private judgeProgress(link: WorkerLink): void {
        const { clock, logger, metrics } = this.parts;
        const nowMs = clock.getNow();
        const stalled = findStalled(link.tasks, nowMs, task => this.estimateTask(task));
        const counted = stalled.filter(task => !task.step.spec.fillsLeftover);
        if (counted.length === 0) {
            return;
        }
        metrics.count("probations_total", "stalled");
        noteFailedRun(link, `${counted[0].step.occurrence.job.id}`, nowMs);
        logger.warn("worker-stalls", { worker: link.entry.id, stalled: stalled.length, tasks: link.tasks.size });
        stalled.forEach(task => {
            task.lastFailedOn = link.entry.id;
            this.orders.sendStop(task, link, "stalled");
        });
    }

    private estimateTask(task: Task): number {
        return this.durations.estimateDuration(task.step.occurrence.job.queue.name, task.step.spec);
    }

    /** Moves away what a leaving worker can't finish: serving tasks at once, others when they'd be cut off. */
    private drainWorker(link: WorkerLink): void {
        for (const task of link.tasks) {
            const { spec } = task.step;
            if (task.phase !== TaskPhase.Running || spec.gang) {
                continue;
            }
            const leftMs = this.estimateTask(task) * (1 - task.percent / 100);
            const isCutOff = leftMs > link.entry.remainingMs;
            if (spec.longRunning || (spec.savesProgress && isCutOff)) {
                this.orders.sendStop(task, link, "worker-leaves");
            }
        }
    }

    private handleNotStarted(task: Task, link: WorkerLink, outcome: OrderOutcome): void {
        link.tasks.delete(task);
        applyRunLost(task);
        this.parts.logger.warn("run-refused", { worker: link.entry.id, job: task.ref.jobId, run: task.run, outcome });
        this.handleChange(task.step.occurrence.job);
    }

    private handleChange(job: Job): void {
        if (this.isClosed) {
            return;
        }
        this.writer.note(job.id, job);
        if (job.isFinished) {
            this.stopTasks(job);
            this.writer.waitRecorded(() => this.closeJob(job), false);
        }
        this.scheduleRound(ROUND_DELAY_MS);
    }

    private stopTasks(job: Job): void {
        for (const task of listTasks(job)) {
            const link = this.fleet.links.get(task.workerId);
            if (link === undefined || !task.isActive) {
                continue;
            }
            this.orders.sendStop(task, link, "job-ended");
        }
    }

    private closeJob(job: Job): void {
        if (!this.recordedEnds.has(job.id)) {
            this.recordedEnds.add(job.id);
            const tookMs = Math.round(job.finishedAtMs - job.acceptedAtMs);
            this.parts.metrics.count("jobs_ended_total", job.state);
            this.parts.logger.info("job-ended", { job: job.id, state: job.state, queue: job.queue.name, tookMs });
        }
        const isQuiet = [...listTasks(job)].every(task => !task.isActive);
        if (isQuiet && this.jobs.live.has(job.id)) {
            this.jobs.finishJob(job);
            this.advice.dropJob(job.id);
            this.needless.add(job.id);
            this.recordedEnds.delete(job.id);
        }
    }

    private scheduleRound(delayMs: number): void {
        const { clock } = this.parts;
        const atMs = clock.getNow() + delayMs;
        if (this.isClosed || !this.isOpen || this.roundAtMs <= atMs) {
            return;
        }
        this.cancelRound?.();
        this.roundAtMs = atMs;
        this.cancelRound = clock.schedule(delayMs, () => this.runRound());
    }

    private runRound(): void {
        const { clock, metrics } = this.parts;
        this.roundAtMs = Infinity;
        const startedAtMs = clock.getNow();
        this.giveUpLapsed(startedAtMs);
        let nextDueMs: number | undefined;
        if (this.mayStart(startedAtMs)) {
            nextDueMs = this.round.run();
        }
        metrics.recordDuration("planning_round", clock.getNow() - startedAtMs);
        const dueInMs = nextDueMs === undefined ? IDLE_ROUND_MS : nextDueMs - clock.getWallTime();
        this.scheduleRound(Math.min(IDLE_ROUND_MS, Math.max(1, dueInMs)));
    }

    private giveUpLapsed(nowMs: number): void {
        for (const link of this.fleet.links.values()) {
            const isAnswering = link.isHeld && link.missedHolds === 0;
            if (link.tasks.size > 0 && !isAnswering && nowMs > link.getLapseTime()) {
                this.runs.loseAll(link, "lease-lapsed");
            }
        }
        this.fleet.dropGone(nowMs);
    }

    /** The first starts wait until the workers have said what they run, and longer when unrecorded work may be about. */
    private mayStart(nowMs: number): boolean {
        const { hadUnrecordedStarts, rules } = this.parts;
        const unheard = [...this.fleet.links.values()].filter(link => !link.isHeld && !link.isGone);
        if (hadUnrecordedStarts) {
            // Workers that the list has lost may run something too; they are listed again by then.
            const isListComplete = nowMs - this.openedAtMs >= rules.entryReturnMs;
            return isListComplete && unheard.every(link => nowMs > link.getLapseTime());
        }
        if (unheard.length === 0) {
            return true;
        }
        return nowMs - this.openedAtMs >= FIRST_ROUND_AFTER_MS;
    }

    private scheduleCleanUp(): void {
        this.parts.clock.schedule(CLEAN_UP_MS, () => {
            if (!this.isClosed) {
                this.logSummary();
                void this.cleanUp().finally(() => this.scheduleCleanUp());
            }
        });
    }

    /** Says how full the fleet is, so that a slow job can be told from a full fleet. */
    private logSummary(): void {
        const links = [...this.fleet.links.values()];
        const tasks = links.flatMap(link => [...link.tasks]);
        const fillers = tasks.filter(task => task.step.spec.fillsLeftover);
        const { steps } = this.jobs.listReady(this.parts.clock.getWallTime());
        this.parts.logger.info("fleet-summary", {
            workers: links.length,
            silent: links.filter(link => link.missedHolds > 0).length,
            onTrial: links.filter(link => link.isOnTrial).length,
            jobs: this.jobs.live.size,
            waiting: steps.reduce((sum, { waiting }) => sum + waiting.length, 0),
            tasks: tasks.length,
            fillers: fillers.length,
            fillCpuMillis: fillers.reduce((sum, task) => sum + task.step.spec.cpuMillis, 0),
            fillCpuUsed: fillers.reduce((sum, task) => sum + task.figure, 0),
            fillPace: Math.round(fillers.reduce((sum, task) => sum + task.pace, 0) / Math.max(1, fillers.length)),
            freeCpuMillis: buildRooms(links, () => 1).reduce((sum, room) => sum + room.freeCpuMillis, 0),
            servingCpuMillis: tasks.filter(task => task.step.spec.longRunning)
                .reduce((sum, task) => sum + task.step.spec.cpuMillis, 0),
            waitingLong: steps.filter(({ step }) => step.spec.longRunning).reduce((sum, { waiting }) => sum + waiting.length, 0),
            freeOfServing: links.filter(link => ![...link.tasks].some(task => task.step.spec.tailTargetMs > 0)).length,
            halted: fillers.filter(task => task.pace === 0).length,
        });
    }

    /** Drops the stored records of jobs that have ended, and all trace of those that ended long ago. */
    private async cleanUp(): Promise<void> {
        const { clock, rules, store } = this.parts;
        const dropped = this.jobs.dropFinished(clock.getWallTime(), rules.keepFinishedMs);
        dropped.forEach(id => this.writer.note(id, undefined));
        const ids = [...this.needless];
        if (ids.length === 0) {
            return;
        }
        const records = ids.flatMap(id => [{ key: id, value: undefined }, { key: id + CANCEL_SUFFIX, value: undefined }]);
        const answer = await store.append({ topic: Topic.Jobs, records, timeoutMs: CLEAN_UP_MS });
        if (answer.outcome === AppendOutcome.Appended) {
            ids.forEach(id => this.needless.delete(id));
        }
    }
}

function* listTasks(job: Job): Iterable<Task> {
    for (const occurrence of job.open.values()) {
        for (const step of occurrence.steps) {
            yield* step.tasks;
        }
    }
}
