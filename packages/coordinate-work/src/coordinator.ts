import type { HoldAnswer, KeyedRecord, OrderOutcome } from "@sardinestage/describe-ports";
import { JobState, WorkerState } from "@sardinestage/describe-work";
import { TopicFollower } from "@sardinestage/follow-topic";
import type { Job, Task } from "@sardinestage/track-jobs";
import { applyCancel, applyRunLost } from "@sardinestage/track-jobs";
import { WorkKind } from "@sardinestage/watch-loop";
import { AdviceBook } from "./adviceBook.js";
import { applyInTurns } from "./applyInTurns.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { countPending } from "./countPending.js";
import { describeFleet } from "./describeFleet.js";
import { Fleet } from "./fleet.js";
import { followedTopics } from "./followedTopics.js";
import { HoldLoop } from "./holdLoop.js";
import { Janitor } from "./janitor.js";
import { JobBook } from "./jobBook.js";
import { JobEnds } from "./jobEnds.js";
import { JobIntake } from "./jobIntake.js";
import { Learned } from "./learned.js";
import { limits } from "./limits.js";
import { listLapsed } from "./listLapsed.js";
import { OrderDesk } from "./orderDesk.js";
import { PaceDesk } from "./paceDesk.js";
import { PastStarts } from "./pastStarts.js";
import { PlaceJudge } from "./placeJudge.js";
import { ProgressWriter } from "./progressWriter.js";
import { restoreLearned } from "./restoreLearned.js";
import { RoundTimer } from "./roundTimer.js";
import { RunBook } from "./runBook.js";
import { ServingBook } from "./servingBook.js";
import { StartGate } from "./startGate.js";
import { TakeoverGate } from "./takeoverGate.js";
import type { WorkerLink } from "./workerLink.js";
import { WorkerWatch } from "./workerWatch.js";
import { WorkRound } from "./workRound.js";

/** Interval between two clean-ups of the records of ended jobs, in milliseconds. */
const UPKEEP_MS = 2000;

/**
 * During a takeover, each lease is renewed after this share of its length. At a third, one renewal may fail before the
 * lease expires.
 */
const EXTENDING_SHARE = 1 / 3;

/** Renews the leases of all workers during one term, and schedules the accepted jobs on these workers. */
export class Coordinator {
    private readonly jobs = new JobBook();
    private readonly learned = new Learned();
    private readonly writer: ProgressWriter;
    private readonly orders: OrderDesk;
    private readonly runs: RunBook;
    private readonly pace: PaceDesk;
    private readonly advice: AdviceBook;
    private readonly watch: WorkerWatch;
    private readonly fleet: Fleet;
    private readonly round: WorkRound;
    private readonly jobsFollower: TopicFollower;
    private readonly workersFollower: TopicFollower;
    private readonly ends: JobEnds;
    private readonly janitor: Janitor;
    private readonly intake: JobIntake;
    private readonly past: PastStarts;
    private starts: StartGate | undefined;
    private isClosed = false;
    private isOpen = false;
    private isHolding = false;
    private readonly gate: TakeoverGate;
    private readonly openedAtMs: number;
    private readonly rounds: RoundTimer;

    constructor(private readonly parts: CoordinatorParts) {
        this.openedAtMs = parts.clock.getNow();
        this.gate = new TakeoverGate(parts.clock, parts.rules.leaseMs * EXTENDING_SHARE);
        this.rounds = new RoundTimer(parts.clock, () => parts.meter.measure(WorkKind.Rounds, () => this.runRound()));
        this.writer = new ProgressWriter(parts);
        this.past = new PastStarts(parts.hadUnrecordedStarts, this.writer);
        this.janitor = new Janitor(parts, this.jobs, this.writer);
        this.advice = new AdviceBook(parts, () => this.scheduleRound(limits.roundDelayMs));
        this.orders = new OrderDesk(parts, {
            noteNotStarted: (task, link, outcome) => this.handleNotStarted(task, link, outcome),
            noteStarted: link => this.pace.handleFigures(link),
            isClosed: () => this.isClosed,
            getTicket: (task, workerId) => this.advice.getTicket(task, workerId),
        });
        this.watch = new WorkerWatch(parts, this.orders, this.learned.durations);
        this.fleet = new Fleet(parts, {
            noteWorker: link => this.startHolding(link),
            noteDraining: link => this.watch.drainWorker(link),
        });
        this.intake = new JobIntake(parts, {
            jobs: this.jobs,
            fleet: this.fleet,
            janitor: this.janitor,
            cancelJob: id => this.cancelJob(id),
            noteTaken: () => this.scheduleRound(limits.roundDelayMs),
        });
        this.runs = new RunBook(parts, {
            jobs: this.jobs,
            writer: this.writer,
            orders: this.orders,
            durations: this.learned.durations,
            findLink: workerId => this.fleet.links.get(workerId),
            noteChanged: job => this.handleChange(job),
        });
        const { headroom } = this.learned;
        const serving = new ServingBook(headroom);
        this.ends = new JobEnds(parts, {
            jobs: this.jobs,
            fleet: this.fleet,
            writer: this.writer,
            orders: this.orders,
            advice: this.advice,
            janitor: this.janitor,
        });
        this.pace = new PaceDesk(parts, this.orders, headroom, serving);
        this.round = new WorkRound(parts, {
            jobs: this.jobs,
            fleet: this.fleet,
            writer: this.writer,
            orders: this.orders,
            runs: this.runs,
            advice: this.advice,
            places: new PlaceJudge(headroom),
            serving,
            durations: this.learned.durations,
        });
        this.jobsFollower = new TopicFollower({
            ...parts,
            ...followedTopics.jobs,
            takeRecord: record => this.intake.takeRecord(record),
        });
        this.workersFollower = new TopicFollower({
            ...parts,
            ...followedTopics.workers,
            takeRecord: record => this.fleet.takeRecord(record),
        });
    }

    /**
     * Takes over from earlier coordinators: fences them off from the store, starts to renew the workers' leases, and
     * loads the state of all jobs.
     *
     * @returns False if the store can't be fenced or read; the caller may try again with a new coordinator.
     */
    async open(): Promise<boolean> {
        const { clock, logger, term } = this.parts;
        const pending = new Map<string, Uint8Array>();
        const progress = new TopicFollower({
            ...this.parts,
            ...followedTopics.progress,
            takeRecord: record => this.takeProgress(record, pending),
        });
        const isWriter = await this.writer.open();
        const writableAtMs = clock.getNow();
        const loads = isWriter
            ? await Promise.all([progress.load(), this.jobsFollower.load(), this.loadWorkers()])
            : [false];
        if (loads.includes(false) || this.isClosed) {
            const tookMs = Math.round(clock.getNow() - this.openedAtMs);
            logger.warn("takeover-failed", { term, step: isWriter ? "read" : "fence", tookMs });
            return false;
        }
        const readAtMs = clock.getNow();
        this.intake.applyEarly(pending);
        this.isOpen = true;
        logger.info("takeover", {
            term,
            jobs: this.jobs.live.size,
            workers: this.fleet.links.size,
            fencedMs: Math.round(writableAtMs - this.openedAtMs),
            readMs: Math.round(readAtMs - writableAtMs),
            appliedMs: Math.round(clock.getNow() - readAtMs),
            tookMs: Math.round(clock.getNow() - this.openedAtMs),
        });
        void this.jobsFollower.run();
        void this.workersFollower.run();
        this.starts = new StartGate([...this.fleet.links.values()], {
            ...this.parts,
            ...this.parts.rules,
            listLinks: () => this.fleet.links.values(),
            getListReadAt: () => this.workersFollower.freshAtMs ?? -Infinity,
            openedAtMs: this.openedAtMs,
            lapsedAtMs: this.fleet.lapsedAtMs,
        });
        this.gate.openSoon(() => this.starts?.isSettled() === true);
        this.scheduleRound(limits.roundDelayMs);
        this.scheduleUpkeep();
        return true;
    }

    /** Loads the worker list and renews leases at once, without waiting for the jobs to be loaded. */
    private async loadWorkers(): Promise<boolean> {
        const isLoaded = await this.workersFollower.load();
        if (isLoaded) {
            this.isHolding = true;
            applyInTurns(this.parts.clock, [...this.fleet.links.values()], link => this.startHolding(link));
        }
        return isLoaded;
    }

    private takeProgress(record: KeyedRecord, pending: Map<string, Uint8Array>): void {
        if (record.key === Learned.KEY) {
            restoreLearned(this.parts, this.learned, record.value);
        }
        else {
            this.jobs.takeProgress(record, pending);
        }
    }

    /** Ends the term in this process: no further order is sent. */
    close(): void {
        this.isClosed = true;
        this.writer.close();
        this.jobsFollower.close();
        this.workersFollower.close();
        this.rounds.close();
    }

    /** Whether runs may exist that aren't recorded yet, started by this coordinator or by an earlier one. */
    get hasUnrecordedStarts(): boolean {
        return this.writer.hasUnrecordedStarts || !this.past.areRecorded;
    }

    /** Whether the takeover is complete, so that queries about jobs can be answered. */
    get isReady(): boolean {
        return this.isOpen && !this.isClosed;
    }

    /**
     * Looks up a job's state. If the job isn't known, the accepted jobs are read again first.
     *
     * @returns The state; undefined for a job that was certainly never accepted; `"unknown"` if the store can't be
     * read.
     */
    async getState(id: string): Promise<JobState | undefined | "unknown"> {
        const known = this.ends.findState(id);
        if (known !== undefined) {
            return known;
        }
        const isFresh = await this.jobsFollower.refresh();
        return this.ends.findState(id) ?? (isFresh ? undefined : "unknown");
    }

    /**
     * Counts the accepted jobs of a queue of which no task has started.
     *
     * @returns The count; undefined if the accepted jobs haven't been read recently.
     */
    getPending(queue: string): number | undefined {
        return this.jobsFollower.isFresh ? countPending(this.jobs.live.values(), queue) : undefined;
    }

    /** Applies a cancellation that is in the store, whether or not it has been read from there yet. */
    cancelJob(id: string): void {
        const job = this.jobs.takeCancel(id);
        if (job === undefined || !applyCancel(job, this.parts.clock.getWallTime())) {
            return;
        }
        this.parts.logger.info("job-cancelled", { job: id });
        this.handleChange(job);
    }

    private startHolding(link: WorkerLink): void {
        if (!this.isHolding || link.entry.address === "") {
            return;
        }
        const loop = new HoldLoop(this.parts, link, {
            waitUntilOpen: () => this.gate.waitUntilOpen(),
            hasAllJobs: answer => this.hasAllJobs(answer),
            takeAnswer: (held, answer, ...times) =>
                this.parts.meter.measure(WorkKind.Answers, () => this.handleAnswer(held, answer, ...times)),
            isOver: held => this.isClosed || this.fleet.links.get(held.entry.id) !== held,
        });
        void loop.run();
    }

    /**
     * Whether all jobs named in a worker's report are known. The earlier coordinator may have read and started a job
     * after this coordinator last read the store; unknown jobs cause another read.
     */
    private hasAllJobs(answer: HoldAnswer): boolean | Promise<boolean> {
        const isUnread = [...answer.ended, ...answer.running].some(row => !this.jobs.isKnown(row.task.jobId));
        return isUnread ? this.jobsFollower.refresh() : true;
    }

    private handleAnswer(link: WorkerLink, answer: HoldAnswer, sentAtMs: number, receivedAtMs: number): void {
        this.runs.takeAnswer(link, answer, sentAtMs, receivedAtMs);
        this.watch.stopUnwanted(link);
        this.parts.meter.measure(WorkKind.Pace, () => this.pace.handleFigures(link));
        this.watch.watchProgress(link);
        if (link.entry.state === WorkerState.Draining) {
            this.watch.drainWorker(link);
        }
        this.scheduleRound(limits.roundDelayMs);
    }

    private handleNotStarted(task: Task, link: WorkerLink, outcome: OrderOutcome): void {
        link.tasks.delete(task);
        applyRunLost(task);
        this.parts.logger.warn("run-refused", { worker: link.entry.id, job: task.ref.jobId, run: task.run, outcome });
        this.handleChange(task.step.occurrence.job);
    }

    private handleChange(job: Job): void {
        if (!this.isClosed) {
            this.ends.handleChange(job);
            this.scheduleRound(limits.roundDelayMs);
        }
    }

    private scheduleRound(delayMs: number): void {
        if (!this.isClosed && this.isOpen) {
            this.rounds.schedule(delayMs);
        }
    }

    /** Runs a planning round. Returns the time until the next one if no event comes earlier, in milliseconds. */
    private runRound(): number {
        const { clock, metrics } = this.parts;
        const startedAtMs = clock.getNow();
        this.expireLeases(startedAtMs);
        let nextDueMs: number | undefined;
        if (this.starts?.tryOpening(startedAtMs) === true) {
            this.past.noteHeard();
            nextDueMs = this.round.run();
        }
        metrics.recordDuration("planning_round", clock.getNow() - startedAtMs);
        const dueInMs = nextDueMs === undefined ? limits.idleRoundMs : nextDueMs - clock.getWallTime();
        return Math.min(limits.idleRoundMs, Math.max(1, dueInMs));
    }

    private expireLeases(nowMs: number): void {
        for (const link of this.fleet.links.values()) {
            listLapsed(link, nowMs).forEach(task => this.runs.dropRun(task, link, "lease-lapsed"));
        }
        this.fleet.dropGone(nowMs);
    }

    private scheduleUpkeep(): void {
        const { clock, logger } = this.parts;
        clock.schedule(UPKEEP_MS, () => {
            if (this.isClosed) {
                return;
            }
            logger.info("fleet-summary", describeFleet(this.jobs, [...this.fleet.links.values()], clock.getWallTime()));
            this.writer.note(Learned.KEY, () => this.learned.encodeState());
            void this.janitor.dropNeedless().finally(() => this.scheduleUpkeep());
        });
    }
}
