import type { LeaseReport } from "@sardinestage/describe-ports";
import { JobState, WorkerState } from "@sardinestage/describe-work";
import { TopicFollower } from "@sardinestage/follow-topic";
import type { Job } from "@sardinestage/track-jobs";
import { applyCancel } from "@sardinestage/track-jobs";
import { MeteredWork } from "@sardinestage/watch-loop";
import { applyInBatches } from "./applyInBatches.js";
import { CleanupTimer } from "./cleanupTimer.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { describeProblem } from "./describeProblem.js";
import { PlacementExplainer } from "./explaining/placementExplainer.js";
import { countPending } from "./jobs/countPending.js";
import { JobFinisher } from "./jobs/jobFinisher.js";
import { JobIntake } from "./jobs/jobIntake.js";
import { JobLookup } from "./jobs/jobLookup.js";
import { JobRegistry } from "./jobs/jobRegistry.js";
import { limits } from "./limits.js";
import { OrderSender } from "./orders/orderSender.js";
import { HeadroomTracker } from "./pace/headroomTracker.js";
import { PaceController } from "./pace/paceController.js";
import { AdviceCache } from "./planning/adviceCache.js";
import { AdviceRequester } from "./planning/adviceRequester.js";
import { PlacementScorer } from "./planning/placementScorer.js";
import { PlanningRound } from "./planning/planningRound.js";
import { RoundTimer } from "./planning/roundTimer.js";
import { JobRecorder } from "./records/jobRecorder.js";
import { LearnedEstimates } from "./records/learnedEstimates.js";
import { ProgressWriter } from "./records/progressWriter.js";
import { RecordCleaner } from "./records/recordCleaner.js";
import { LeaseRenewalLoop } from "./renewals/leaseRenewalLoop.js";
import type { ReportRequest } from "./renewals/reportRequest.js";
import { RunTracker } from "./runs/runTracker.js";
import { EarlierStarts } from "./takeover/earlierStarts.js";
import { followedTopics } from "./takeover/followedTopics.js";
import { StartGate } from "./takeover/startGate.js";
import { TakeoverGate } from "./takeover/takeoverGate.js";
import { TakeoverReads } from "./takeover/takeoverReads.js";
import { describeLeases } from "./workers/describeLeases.js";
import { expireLeases } from "./workers/expireLeases.js";
import { FailureAttribution } from "./workers/failureAttribution.js";
import { Fleet } from "./workers/fleet.js";
import type { TrackedWorker } from "./workers/trackedWorker.js";
import { WorkerMonitor } from "./workers/workerMonitor.js";

/**
 * During a takeover, each lease is renewed after this share of its length. At a third, one renewal may fail before the
 * lease expires.
 */
const TAKEOVER_RENEWAL_SHARE = 1 / 3;

/** Renews the leases of all workers during one term, and schedules the accepted jobs on these workers. */
export class Coordinator {
    /** Answers which jobs are known, and whether there is room for new ones. */
    readonly lookup: JobLookup;
    private readonly jobs = new JobRegistry((id, size) => this.lookup.noteSize(id, size));
    private readonly learned = new LearnedEstimates();
    private readonly writer: ProgressWriter;
    private readonly orders: OrderSender;
    private readonly runs: RunTracker;
    private readonly pace: PaceController;
    private readonly advice: AdviceCache;
    private readonly adviceRequester: AdviceRequester;
    private readonly monitor: WorkerMonitor;
    private readonly fleet: Fleet;
    private readonly planningRound: PlanningRound;
    /** Explains where the ready tasks of a job would start now, or why they wait. */
    readonly explainer: PlacementExplainer;
    private readonly jobsFollower: TopicFollower;
    private readonly workersFollower: TopicFollower;
    private readonly finisher: JobFinisher;
    private readonly cleanup: CleanupTimer;
    private readonly intake: JobIntake;
    private readonly earlierStarts: EarlierStarts;
    private startGate: StartGate | undefined;
    private isClosed = false;
    private isOpen = false;
    private isRenewingLeases = false;
    private readonly takeoverGate: TakeoverGate;
    private readonly takeoverReads: TakeoverReads;
    private readonly timer: RoundTimer;

    constructor(private readonly parts: CoordinatorParts) {
        this.lookup = new JobLookup(parts, this.jobs, () => this.jobsFollower.refresh());
        this.takeoverGate = new TakeoverGate(parts.clock, parts.rules.leaseMs * TAKEOVER_RENEWAL_SHARE);
        this.timer = new RoundTimer(
            parts.clock,
            () => parts.meter.measure(MeteredWork.Rounds, () => this.runRound()),
            failure => parts.logger.error("round-failed", { problem: describeProblem(failure) }),
        );
        this.writer = new ProgressWriter(parts, key => this.finisher.finishUnrecorded(key));
        this.earlierStarts = new EarlierStarts(parts.hadUnrecordedStarts, this.writer);
        const recordCleaner = new RecordCleaner(parts, this.jobs, this.writer);
        const recorder = new JobRecorder(parts, this.writer);
        const getLife = (workerId: string) => this.fleet.workers.get(workerId)?.life.bornMs ?? 0;
        this.advice = new AdviceCache(parts, getLife);
        this.adviceRequester = new AdviceRequester(
            parts,
            this.advice,
            getLife,
            () => this.scheduleRound(limits.roundDelayMs),
        );
        this.orders = new OrderSender(parts, {
            handleNotStarted: (...start) => this.runs.copies.handleNotStarted(...start),
            handleStarted: worker => this.pace.handleMeasurements(worker),
            handleStartSettled: () => this.scheduleRound(this.planningRound.nextStartDelayMs),
            isClosed: () => this.isClosed,
            tickets: this.advice,
        });
        const attribution = new FailureAttribution(parts, { listWorkers: () => this.fleet.workers.values() });
        this.monitor = new WorkerMonitor(parts, this.orders, this.learned.durations, attribution);
        this.fleet = new Fleet(parts, {
            noteListed: worker => this.startRenewing(worker),
            noteDraining: worker => this.monitor.drainWorker(worker),
        });
        this.intake = new JobIntake(parts, {
            jobs: this.jobs,
            fleet: this.fleet,
            recordCleaner,
            recorder,
            cancelJob: id => this.cancelJob(id),
            noteAdded: () => this.scheduleRound(limits.roundDelayMs),
        });
        this.runs = new RunTracker(parts, {
            jobs: this.jobs,
            writer: this.writer,
            orders: this.orders,
            durations: this.learned.durations,
            attribution,
            findWorker: workerId => this.fleet.workers.get(workerId),
            noteChanged: job => this.handleChange(job),
        });
        this.cleanup = new CleanupTimer(parts, {
            jobs: this.jobs,
            fleet: this.fleet,
            writer: this.writer,
            learned: this.learned,
            recordCleaner,
        });
        const headroomTracker = new HeadroomTracker(this.learned.headroom);
        this.finisher = new JobFinisher(parts, {
            jobs: this.jobs,
            fleet: this.fleet,
            writer: this.writer,
            recorder,
            orders: this.orders,
            advice: this.advice,
            recordCleaner,
        });
        this.pace = new PaceController(parts, this.orders, this.learned.headroom, headroomTracker);
        this.planningRound = new PlanningRound(parts, {
            jobs: this.jobs,
            fleet: this.fleet,
            writer: this.writer,
            recorder,
            orders: this.orders,
            runs: this.runs,
            advice: this.advice,
            adviceRequester: this.adviceRequester,
            placementScorer: new PlacementScorer(this.learned.headroom),
            headroomTracker,
            durations: this.learned.durations,
        });
        this.explainer = new PlacementExplainer(parts.clock, this.jobs, this.fleet, this.planningRound, this.learned);
        this.jobsFollower = new TopicFollower({
            ...parts,
            ...followedTopics.jobs,
            takeRecord: record => this.intake.handleRecord(record),
        });
        this.workersFollower = new TopicFollower({
            ...parts,
            ...followedTopics.workers,
            takeRecord: record => this.fleet.handleRecord(record),
        });
        this.takeoverReads = new TakeoverReads(parts, {
            writer: this.writer,
            learned: this.learned,
            jobs: this.jobs,
            jobsFollower: this.jobsFollower,
            workersFollower: this.workersFollower,
            noteWorkersLoaded: () => this.startRenewingAll(),
        });
    }

    /**
     * Takes over from earlier coordinators: fences them off from the store, starts to renew the workers' leases, and
     * loads the state of all jobs.
     *
     * @returns False if the store can't be fenced or read; the caller may try again with the same coordinator, which goes
     *   on renewing leases meanwhile. Another one for the same term wouldn't know what this one has ordered.
     */
    async open(): Promise<boolean> {
        const { clock, logger, term } = this.parts;
        const isRead = !this.isClosed && await this.takeoverReads.run();
        if (!isRead || this.isClosed) {
            const leases = describeLeases(this.fleet.workers.values(), clock.getNow());
            logger.warn("takeover-failed", { term, ...this.takeoverReads.describeTry(), ...leases });
            return false;
        }
        this.finishTakeover();
        return true;
    }

    private finishTakeover(): void {
        const { logger, term } = this.parts;
        const { triedAtMs, progress } = this.takeoverReads;
        this.intake.applyDeferred(progress);
        progress.clear();
        this.isOpen = true;
        const counts = { jobs: this.jobs.live.size, workers: this.fleet.workers.size };
        logger.info("takeover", { term, ...counts, ...this.takeoverReads.describeTimes() });
        this.startGate = new StartGate([...this.fleet.workers.values()], {
            ...this.parts,
            ...this.parts.rules,
            listWorkers: () => this.fleet.workers.values(),
            getListReadAt: () => this.workersFollower.freshAtMs ?? -Infinity,
            openedAtMs: triedAtMs,
            getExpiredAt: () => this.fleet.earlierLeasesExpireAtMs,
        });
        this.takeoverGate.openWhenSettled(() => this.startGate?.isSettled() === true, triedAtMs);
        this.scheduleRound(limits.roundDelayMs);
        this.cleanup.start();
    }

    /** Renews leases as soon as the workers are known, without waiting for the jobs to be loaded. */
    private startRenewingAll(): void {
        this.isRenewingLeases = true;
        applyInBatches(this.parts.clock, [...this.fleet.workers.values()], worker => this.startRenewing(worker));
    }

    /** Ends the term in this process: no further order is sent. */
    close(): void {
        this.isClosed = true;
        this.lookup.close();
        this.writer.close();
        this.adviceRequester.close();
        this.jobsFollower.close();
        this.workersFollower.close();
        this.timer.close();
        this.cleanup.close();
    }

    /** Whether runs may exist that aren't recorded yet, started by this coordinator or by an earlier one. */
    get hasUnrecordedStarts(): boolean {
        return this.writer.hasUnrecordedStarts || !this.earlierStarts.areRecorded;
    }

    /** Number of workers that are listed or may still run tasks. */
    get workerCount(): number {
        return this.fleet.workers.size;
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
        const known = this.finisher.findState(id);
        if (known !== undefined) {
            return known;
        }
        const isFresh = await this.jobsFollower.refresh();
        return this.finisher.findState(id) ?? (isFresh ? undefined : "unknown");
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
        const job = this.jobs.noteCancel(id);
        if (job === undefined || !applyCancel(job, this.parts.clock.getWallTime())) {
            return;
        }
        this.parts.logger.info("job-cancelled", { job: id });
        this.handleChange(job);
    }

    private startRenewing(worker: TrackedWorker): void {
        if (!this.isRenewingLeases || worker.entry.address === "") {
            return;
        }
        const loop = new LeaseRenewalLoop(this.parts, worker, {
            waitUntilOpen: () => this.takeoverGate.waitUntilOpen(),
            hasAllJobs: report => this.lookup.hasAllJobs(report),
            applyReport: (renewed, report, request) =>
                this.parts.meter.measure(MeteredWork.Answers, () => this.handleReport(renewed, report, request)),
            noteEndsLeftAside: () => this.scheduleRound(limits.roundDelayMs),
            isOver: renewed => this.isClosed || this.fleet.workers.get(renewed.entry.id) !== renewed,
        });
        void loop.run();
    }

    private handleReport(worker: TrackedWorker, report: LeaseReport, request: ReportRequest): void {
        this.runs.applyReport(worker, report, request);
        this.monitor.stopEndedJobs(worker);
        this.parts.meter.measure(MeteredWork.Pace, () => this.pace.handleMeasurements(worker));
        this.monitor.stopStalled(worker);
        if (worker.entry.state === WorkerState.Draining) {
            this.monitor.drainWorker(worker);
        }
        this.scheduleRound(limits.roundDelayMs);
    }

    private handleChange(job: Job): void {
        if (!this.isClosed) {
            this.finisher.handleChange(job);
            this.scheduleRound(limits.roundDelayMs);
        }
    }

    private scheduleRound(delayMs: number): void {
        if (!this.isClosed && this.isOpen) {
            this.timer.schedule(delayMs);
        }
    }

    /** Runs a planning round. Returns the time until the next one if no event comes earlier, in milliseconds. */
    private runRound(): number {
        const { clock, metrics } = this.parts;
        const startedAtMs = clock.getNow();
        this.fleet.reportEvacuations();
        const isGateOpen = this.startGate?.tryOpen(startedAtMs) === true;
        const canStart = isGateOpen && this.parts.hasAuthority();
        expireLeases(this.fleet, this.runs, startedAtMs, canStart);
        let nextDueMs: number | undefined;
        if (canStart) {
            this.earlierStarts.noteAllReported();
            nextDueMs = this.planningRound.run();
        }
        this.planningRound.reportIdle(startedAtMs, isGateOpen);
        metrics.recordDuration("planning_round", clock.getNow() - startedAtMs);
        const dueInMs = nextDueMs === undefined ? limits.idleRoundMs : nextDueMs - clock.getWallTime();
        return Math.min(limits.idleRoundMs, Math.max(1, dueInMs));
    }
}
