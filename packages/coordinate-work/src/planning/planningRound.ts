import { formatTaskKey } from "@sardinestage/describe-work";
import type { StartRules, StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { computePackingScore, planStarts, ReservationPlanner } from "@sardinestage/plan-starts";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import { applyRunStart, chooseNextRun, TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { IdleReason } from "../idle/idleReason.js";
import { IdleTaskReporter } from "../idle/idleTaskReporter.js";
import type { DurationEstimator } from "../jobs/durationEstimator.js";
import type { JobRegistry } from "../jobs/jobRegistry.js";
import type { ReadyStep } from "../jobs/readyStep.js";
import { limits } from "../limits.js";
import type { OrderSender } from "../orders/orderSender.js";
import type { HeadroomTracker } from "../pace/headroomTracker.js";
import type { JobRecorder } from "../records/jobRecorder.js";
import type { ProgressWriter } from "../records/progressWriter.js";
import type { RunTracker } from "../runs/runTracker.js";
import { computeStartsLeft } from "../workers/computeStartsLeft.js";
import type { Fleet } from "../workers/fleet.js";
import { isTrialRun } from "../workers/isTrialRun.js";
import type { AdviceCache } from "./adviceCache.js";
import type { AdviceRequester } from "./adviceRequester.js";
import { buildWorkerCapacity } from "./buildWorkerCapacity.js";
import { buildWorkerRules } from "./buildWorkerRules.js";
import { CapacityReservations } from "./capacityReservations.js";
import { CapacityShares } from "./capacityShares.js";
import { CapacityTable } from "./capacityTable.js";
import { chooseBestEffortWait } from "./chooseBestEffortWait.js";
import { CopyStarter } from "./copyStarter.js";
import { countUnevenStarts } from "./countUnevenStarts.js";
import { DemandBuilder } from "./demandBuilder.js";
import { DemandSelector } from "./demandSelector.js";
import { estimateRunEnd } from "./estimateRunEnd.js";
import { isMovable } from "./isMovable.js";
import { listEvacuatedCapacities } from "./listEvacuatedCapacities.js";
import type { PlacementScorer } from "./placementScorer.js";
import { PreemptionController } from "./preemptionController.js";
import { ReservationReporter } from "./reservationReporter.js";
import { shareCheckpoint } from "./shareCheckpoint.js";
import { UnusedTaskLimiter } from "./unusedTaskLimiter.js";
import { WaitExplainer } from "./waitExplainer.js";
import { WaitReporter } from "./waitReporter.js";
import { WaitSummary } from "./waitSummary.js";

/** The most best-effort tasks that one round stops in order to move them. */
const MAX_MOVES_PER_ROUND = 4;

/** Placements use the headroom predicted this far ahead, in milliseconds: a task takes this long to start and load. */
const PLACEMENT_LOOKAHEAD_MS = 1500;

/** Dependencies of a planning round. */
interface PlanningRoundParts {
    readonly jobs: JobRegistry;
    readonly fleet: Fleet;
    readonly writer: ProgressWriter;
    readonly recorder: JobRecorder;
    readonly orders: OrderSender;
    readonly runs: RunTracker;
    readonly advice: AdviceCache;
    readonly adviceRequester: AdviceRequester;
    readonly placementScorer: PlacementScorer;
    readonly headroomTracker: HeadroomTracker;
    readonly durations: DurationEstimator;
}

/** Runs planning rounds: matches waiting tasks with free capacity, records the starts and sends the start orders. */
export class PlanningRound {
    private readonly demandSelector: DemandSelector;
    private readonly waitReporter: WaitReporter;
    private readonly waitExplainer: WaitExplainer;
    private readonly idleTasks: IdleTaskReporter;
    private mayStart = false;
    /** The free capacity of the workers in the last round that planned starts. */
    private lastCapacities: readonly WorkerCapacity[] = [];
    /** Whether the last round planned as many starts as it might, so that others may be possible. */
    private isStartLimited = false;
    private readonly waitSummary: WaitSummary;
    private readonly capacityTable = new CapacityTable();
    private readonly reservations = new CapacityReservations();
    private readonly preemption: PreemptionController;
    private readonly unusedTasks = new UnusedTaskLimiter();
    /** Undefined if queues don't share capacity. */
    private readonly shares: CapacityShares | undefined;

    private readonly reservationReporter: ReservationReporter;
    private readonly reservationPlanner: ReservationPlanner;
    /** The rules by which capacity is planned ahead; empty if it isn't. */
    private readonly aheadRules: Pick<StartRules, "computeScore" | "reservations">;
    private readonly copies: CopyStarter;
    private readonly demandBuilder: DemandBuilder;

    constructor(private readonly parts: CoordinatorParts, private readonly collaborators: PlanningRoundParts) {
        this.reservationReporter = new ReservationReporter(parts, () => this.reservationPlanner.count);
        this.reservationPlanner = new ReservationPlanner({
            estimateDuration: step => this.estimateDuration(step),
            noteOutcome: (outcome, reservation) => this.reservationReporter.noteOutcome(outcome, reservation),
        });
        this.demandBuilder = new DemandBuilder(parts.clock, collaborators.durations, this.reservations);
        this.waitReporter = new WaitReporter(parts.logger);
        this.waitSummary = new WaitSummary(parts);
        this.waitExplainer = new WaitExplainer(() => collaborators.fleet.workers.values());
        this.idleTasks = new IdleTaskReporter(parts, () => collaborators.jobs.live.values(), {
            findWorker: workerId => collaborators.fleet.workers.get(workerId),
            explainWaiting: step => this.explainWaiting(step),
        });
        this.shares = parts.rules.features.sharesCapacity
            ? new CapacityShares({ ...parts, listWorkers: () => collaborators.fleet.workers.values() })
            : undefined;
        const maxRoundMs = parts.rules.leaseMs * limits.maxRoundLeaseShare;
        const { reservationPlanner } = this;
        this.demandSelector = new DemandSelector(maxRoundMs, step => reservationPlanner.has(step));
        this.aheadRules = parts.rules.features.reservesCapacity
            ? { computeScore: computePackingScore, reservations: reservationPlanner }
            : {};
        this.copies = new CopyStarter(parts, {
            ...collaborators,
            sendWhenRecorded: (copy, workerId) =>
                collaborators.writer.runWhenRecorded(() => this.sendStart(copy, copy.run, workerId), true),
        });
        this.preemption = new PreemptionController(parts, {
            ...collaborators,
            reservations: this.reservations,
            maxRoundMs,
        });
    }

    /**
     * How long the next round waits after the outcome of a start, in milliseconds: a moment if the last round left tasks
     * out and most of its starts are done. Starts without an outcome say that this process or the workers can't keep up.
     */
    get nextStartDelayMs(): number {
        const { waitingStartCount, startsUnderWay } = this.collaborators.orders;
        const areMostDone = waitingStartCount + startsUnderWay <= limits.maxStartsPerRound / 2;
        return this.isStartLimited && areMostDone ? limits.roundDelayMs : limits.idleRoundMs;
    }

    /**
     * Runs one planning round.
     *
     * @returns When the next round is needed, in Unix milliseconds: now if this round left demands out, else when the
     * next occurrence of a job is due; undefined if none is.
     */
    run(): number | undefined {
        const { clock } = this.parts;
        const nowMs = clock.getNow();
        const { steps, nextDueMs } = this.collaborators.jobs.listReady(clock.getWallTime());
        this.releaseThrottled(nowMs);
        const maxStarts = limits.maxStartsPerRound - this.collaborators.orders.waitingStartCount;
        this.isStartLimited = maxStarts <= 0;
        if (maxStarts <= 0) {
            this.waitExplainer.noteHeldBack();
        }
        if (steps.length === 0 || maxStarts <= 0) {
            if (steps.length === 0) {
                this.collaborators.adviceRequester.noteRound([], []);
                this.copies.startCopies([], () => this.listCapacities(nowMs));
            }
            return nextDueMs;
        }
        const capacities = this.listCapacities(nowMs);
        const waiting = steps.map(ready => this.demandBuilder.buildDemand(ready));
        this.shares?.updateRanks(waiting, capacities, nowMs);
        const demands = this.demandSelector.pickDemands(waiting);
        this.collaborators.placementScorer.startRound();
        const planningStartedAtMs = clock.getNow();
        const rules: StartRules = {
            maxStarts,
            maxBestEffortWaitMs: chooseBestEffortWait(capacities),
            isAdvised: (task, workerId) => this.collaborators.advice.isAdvised(task, workerId),
            describePlacement: (capacity, spec) => this.collaborators.placementScorer.describePlacement(capacity, spec),
            ...this.aheadRules,
            ...buildWorkerRules(this.collaborators.fleet.workers, this.parts.rules.features, nowMs),
        };
        rules.reservations?.startRound(capacities, nowMs);
        const plan = planStarts(demands, capacities, rules);
        this.reservationReporter.reportCount();
        this.waitReporter.reportUnmet(plan.unmet, capacities, nowMs);
        this.waitSummary.reportUnmet(
            plan.unmet,
            waiting.length - demands.length,
            capacities,
            rules,
            nowMs,
            () => listEvacuatedCapacities(this.collaborators.fleet.workers.values(), nowMs),
        );
        this.lastCapacities = capacities;
        this.waitExplainer.noteRound({ unmet: plan.unmet, capacities, rules, plannedAtMs: nowMs });
        this.isStartLimited = plan.starts.length >= maxStarts;
        plan.starts.forEach(({ task, workerId }) => this.startTask(task, workerId, nowMs));
        countUnevenStarts(plan.starts, rules.speeds, this.parts.metrics);
        this.demandSelector.recordRound(demands.length, clock.getNow() - planningStartedAtMs);
        this.collaborators.adviceRequester.noteRound(plan.unmet, capacities);
        this.preemption.runPreemption(plan.unmet, capacities, planningStartedAtMs);
        this.unusedTasks.noteListed(demands.map(demand => demand.step));
        const isPartial = demands.length < waiting.length;
        if (!isPartial && !this.isStartLimited) {
            this.copies.startCopies([...plan.unmet, ...plan.heldBack], () => capacities);
        }
        return isPartial ? clock.getWallTime() : nextDueMs;
    }

    /**
     * Reports long-running tasks that are due and have had no run for long.
     *
     * @param nowMs Steady milliseconds.
     * @param mayStart Whether the takeover has come so far that starts may begin.
     */
    reportIdle(nowMs: number, mayStart: boolean): void {
        this.mayStart = mayStart;
        this.idleTasks.reportIdle(nowMs);
        this.shares?.reportIdle(nowMs);
    }

    /** Whether tasks may be started now. */
    get canStart(): boolean {
        return this.mayStart && this.parts.hasAuthority();
    }

    /**
     * Describes the rules of a round for a plan that isn't carried out and may change nothing that rounds use.
     *
     * @param capacities The free capacity of the workers, built for this plan.
     * @param scorer A scorer for this plan.
     */
    describeRules(capacities: readonly WorkerCapacity[], scorer: PlacementScorer, nowMs: number): StartRules {
        const reservations = this.aheadRules.reservations?.createCopy();
        return {
            maxStarts: limits.maxStartsPerRound,
            maxBestEffortWaitMs: chooseBestEffortWait(capacities),
            isAdvised: (task, workerId) => this.collaborators.advice.isAdvised(task, workerId),
            describePlacement: (capacity, spec) => scorer.describePlacement(capacity, spec),
            ...this.aheadRules,
            ...reservations === undefined ? {} : { reservations },
            ...buildWorkerRules(this.collaborators.fleet.workers, this.parts.rules.features, nowMs),
        };
    }

    /** Describes the demand of a step, with the time since rounds know that it is ready. */
    describeDemand(ready: Pick<ReadyStep, "step" | "waiting">): StepDemand {
        return this.demandBuilder.describeDemand(ready);
    }

    /** Builds the free capacity of the workers that may get a start now, for a plan that isn't carried out. */
    buildCapacities(nowMs: number): readonly WorkerCapacity[] {
        const reservedIds = new Set(
            this.lastCapacities.filter(worker => worker.isReserved).map(({ workerId }) => workerId),
        );
        return [...this.collaborators.fleet.workers.values()]
            .map(worker => ({ worker, startsLeft: computeStartsLeft(worker, nowMs) }))
            .filter(({ startsLeft }) => startsLeft > 0)
            .map(({ worker, startsLeft }) => ({
                ...buildWorkerCapacity(worker, startsLeft, ...this.createEstimates(nowMs)),
                isReserved: reservedIds.has(worker.entry.id),
            }));
    }

    private listCapacities(nowMs: number): WorkerCapacity[] {
        return this.capacityTable.updateCapacities(
            this.collaborators.fleet.workers.values(),
            nowMs,
            worker => computeStartsLeft(worker, nowMs),
            ...this.createEstimates(nowMs),
        );
    }

    /** Creates the estimates of a serving task's headroom and of a task's end, from which capacities are built. */
    private createEstimates(nowMs: number): [(task: Task) => number | undefined, ((task: Task) => number)?] {
        const { headroomTracker } = this.collaborators;
        return [
            task => headroomTracker.estimatePlacementHeadroom(task, nowMs + PLACEMENT_LOOKAHEAD_MS),
            this.parts.rules.features.reservesCapacity
                ? task => estimateRunEnd(task, this.estimateDuration(task.step), nowMs)
                : undefined,
        ];
    }

    private explainWaiting(step: StepRun): IdleReason {
        if (!this.mayStart) {
            return IdleReason.StartGateClosed;
        }
        return this.parts.hasAuthority() ? this.waitExplainer.explainWaiting(step) : IdleReason.NoAuthority;
    }

    private estimateDuration({ spec, occurrence }: StepRun): number {
        return this.collaborators.durations.estimateDuration(occurrence.job.queue.name, spec);
    }

    private startTask(task: Task, workerId: string, nowMs: number): void {
        const worker = this.collaborators.fleet.workers.get(workerId);
        if (worker === undefined) {
            return;
        }
        const run = this.chooseRun(task);
        if (task.step.spec.gang) {
            shareCheckpoint(task.step);
        }
        const { job } = task.step.occurrence;
        applyRunStart(task, workerId, run, nowMs);
        worker.tasks.add(task);
        this.reservations.release(task, workerId);
        const fields = { task: formatTaskKey(task.ref), run, worker: workerId };
        this.parts.logger.info("run-order", {
            ...fields,
            tasksThere: worker.tasks.size,
            ...isTrialRun(task, worker) && { isTrial: true },
        });
        this.collaborators.recorder.recordJob(job);
        this.collaborators.writer.runWhenRecorded(() => this.sendStart(task, run, workerId), true);
    }

    /** Chooses the next run number. A gang shares one number, above all that its members had. */
    private chooseRun(task: Task): number {
        const { step } = task;
        if (!step.spec.gang) {
            return chooseNextRun(task);
        }
        let highestRun = 0;
        for (const member of step.listKnown()) {
            if (member.isActive) {
                return member.run;
            }
            highestRun = Math.max(highestRun, member.run);
        }
        return highestRun + 1;
    }

    private sendStart(task: Task, run: number, workerId: string): void {
        const worker = this.collaborators.fleet.workers.get(workerId);
        if (task.run !== run || worker === undefined || !worker.tasks.has(task)) {
            return;
        }
        const isObsolete = task.step.occurrence.job.isFinished || task.phase !== TaskPhase.Ordered;
        if (isObsolete) {
            // The task was stopped before its start was sent, so nothing runs on the worker.
            this.collaborators.runs.handleLostRun(task, worker, "never-sent");
            return;
        }
        this.collaborators.orders.sendStart(task, worker);
    }

    /**
     * Stops best-effort tasks that stay throttled beside serving tasks, so that they free capacity and start elsewhere.
     */
    private releaseThrottled(nowMs: number): void {
        let moves = 0;
        for (const task of this.collaborators.jobs.listThrottled()) {
            const worker = this.collaborators.fleet.workers.get(task.workerId);
            if (moves < MAX_MOVES_PER_ROUND && isMovable(task, nowMs) && worker?.tasks.has(task) === true) {
                moves++;
                this.collaborators.orders.sendStop(task, worker, "moved");
            }
        }
    }
}
