import { OrderOutcome } from "@sardinestage/describe-ports";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { BestEffortTaskView, PaceRules, ServingTaskView } from "@sardinestage/plan-pace";
import { isPaceDecisionDue, planPace } from "@sardinestage/plan-pace";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { OrderSender } from "../orders/orderSender.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { choosePaceIncreaseDelay } from "./choosePaceIncreaseDelay.js";
import { estimateInterference } from "./estimateInterference.js";
import type { HeadroomTracker } from "./headroomTracker.js";

/** The measurements of a worker cover the last half second, in milliseconds. */
const MEASUREMENT_WINDOW_MS = 500;
/** Best-effort tasks that interfere are paused once a latency target is exceeded for this share of `rules.harmMs`. */
const PAUSE_SHARE = 0.15;
/** All best-effort tasks are paused once a latency target is exceeded for this share of `rules.harmMs`. */
const PAUSE_ALL_SHARE = 0.4;
/** Tasks that pausing hasn't reached are stopped once a latency target is exceeded for this share of `rules.harmMs`. */
const STOP_SHARE = 0.6;
const FULL_PERCENT = 100;
/** The smallest increase of a pace, in percent of full speed: less isn't worth a call. */
const MIN_INCREASE_PERCENT = 30;

/** A run that another coordinator started counts as throttled if it uses less than this share of its processor. */
const THROTTLED_SHARE = 0.5;

/** A best-effort task's run for which this coordinator has planned a pace. */
interface PacedRun {
    readonly run: number;
    /** Whether the run's pace is known: another coordinator may have throttled a run that was taken over. */
    isPaceKnown: boolean;
}

/**
 * Throttles best-effort tasks while serving tasks on their worker lack headroom, and stops them if pausing doesn't
 * help.
 */
export class PaceController {
    private readonly rules: Omit<PaceRules, "increaseDelayMs">;
    private readonly decidedAtMs = new WeakMap<TrackedWorker, number>();
    private readonly pacedRuns = new WeakMap<Task, PacedRun>();
    /** The latest planned pace of each task that has a pace order under way, in percent. */
    private readonly requestedPercents = new Map<Task, number>();

    constructor(
        private readonly parts: CoordinatorParts,
        private readonly orders: OrderSender,
        private readonly estimator: HeadroomEstimator,
        private readonly headroomTracker: HeadroomTracker,
    ) {
        const { harmMs, paceMs } = parts.rules;
        this.rules = {
            settleMs: paceMs + MEASUREMENT_WINDOW_MS,
            pauseAfterMs: harmMs * PAUSE_SHARE,
            pauseAllAfterMs: harmMs * PAUSE_ALL_SHARE,
            stopAfterMs: harmMs * STOP_SHARE,
            minIncreasePercent: MIN_INCREASE_PERCENT,
        };
    }

    /**
     * Plans the paces on a worker from the measurements that it has just reported. Does nothing unless a run is new, a
     * new sample is due, or a serving task's latency against its target calls for a decision.
     */
    handleMeasurements(worker: TrackedWorker): void {
        const nowMs = this.parts.clock.getNow();
        let servingCount = 0;
        let bestEffortCount = 0;
        let isOverTarget = false;
        let hasNewRun = false;
        for (const task of worker.tasks) {
            if (isRunningBestEffort(task)) {
                bestEffortCount++;
                hasNewRun ||= this.pacedRuns.get(task)?.run !== task.run;
            }
            if (isRunningServing(task)) {
                servingCount++;
                isOverTarget ||= task.measurement > task.step.spec.tailLatencyTargetMs;
            }
        }
        worker.hasMixedTasks = servingCount > 0 && bestEffortCount > 0;
        const decidedAtMs = this.decidedAtMs.get(worker) ?? -Infinity;
        if (
            hasNewRun || this.headroomTracker.isSampleDue(worker, nowMs)
            || isPaceDecisionDue(worker.pace, isOverTarget, decidedAtMs, nowMs, this.rules)
        ) {
            this.decidedAtMs.set(worker, nowMs);
            this.updatePaces(worker, nowMs);
        }
    }

    private updatePaces(worker: TrackedWorker, nowMs: number): void {
        const servingTasks: Task[] = [];
        const bestEffortTasks: Task[] = [];
        for (const task of worker.tasks) {
            if (isRunningServing(task)) {
                servingTasks.push(task);
            }
            if (isRunningBestEffort(task)) {
                bestEffortTasks.push(task);
            }
        }
        this.headroomTracker.recordMeasurements(worker, servingTasks, bestEffortTasks, nowMs);
        const plan = planPace(
            servingTasks.map(task => this.describeServing(task, nowMs, bestEffortTasks.length > 0)),
            this.describeBestEffort(bestEffortTasks, servingTasks, worker),
            worker.pace,
            nowMs,
            { ...this.rules, increaseDelayMs: choosePaceIncreaseDelay(this.parts.getLoopDelay()) },
        );
        worker.pace = plan.state;
        for (const task of bestEffortTasks) {
            const percent = plan.percents.get(task) ?? FULL_PERCENT;
            if (plan.mustStop && task.pace > 0) {
                this.orders.sendStop(task, worker, "harm");
            }
            else {
                this.applyPace(task, worker, percent);
            }
        }
    }

    private describeServing(task: Task, nowMs: number, isShared: boolean): ServingTaskView {
        return {
            headroom: task.measurement > 0 ? task.step.spec.tailLatencyTargetMs / task.measurement : undefined,
            aloneHeadroom: isShared
                ? this.headroomTracker.estimateHeadroom(task, nowMs + this.rules.settleMs)
                : undefined,
        };
    }

    private describeBestEffort(
        bestEffortTasks: readonly Task[],
        servingTasks: readonly Task[],
        worker: TrackedWorker,
    ): BestEffortTaskView<Task>[] {
        const interferenceByStep = new Map<StepRun, readonly number[]>();
        return bestEffortTasks.map(task => {
            const interference = interferenceByStep.get(task.step)
                ?? servingTasks.map(servingTask =>
                    estimateInterference(
                        this.estimator,
                        servingTask.step.spec.image,
                        task.step.spec,
                        worker.entry.capacity.cpuMillis,
                    )
                );
            interferenceByStep.set(task.step, interference);
            return {
                key: task,
                interference,
                percent: this.requestedPercents.get(task) ?? task.pace,
                pacedAtMs: task.pacedAtMs,
            };
        });
    }

    private applyPace(task: Task, worker: TrackedWorker, percent: number): void {
        let pacedRun = this.pacedRuns.get(task);
        if (pacedRun?.run !== task.run) {
            pacedRun = { run: task.run, isPaceKnown: isOrderedHere(task) };
            this.pacedRuns.set(task, pacedRun);
        }
        if (this.requestedPercents.has(task)) {
            this.requestedPercents.set(task, percent);
        }
        else if (task.pace !== percent || (!pacedRun.isPaceKnown && isThrottled(task))) {
            void this.sendPace(task, worker, percent);
        }
    }

    private async sendPace(task: Task, worker: TrackedWorker, percent: number): Promise<void> {
        const { workers, metrics, clock } = this.parts;
        const { run } = task;
        const { fence } = worker.life;
        this.requestedPercents.set(task, percent);
        metrics.count("pace_orders_total", percent < task.pace ? "down" : "up");
        const outcome = await workers.pace(worker.entry, task.ref, run, percent, fence);
        const requestedPercent = this.requestedPercents.get(task) ?? percent;
        this.requestedPercents.delete(task);
        if (outcome === OrderOutcome.StaleFence && fence === worker.life.fence) {
            this.parts.onTermLost("pace:stale-fence");
            return;
        }
        if (task.run !== run) {
            return;
        }
        if (outcome === OrderOutcome.Accepted) {
            task.pace = percent;
            task.pacedAtMs = clock.getNow();
            this.pacedRuns.set(task, { run, isPaceKnown: true });
        }
        // A lower pace that was planned meanwhile protects serving tasks, so it doesn't wait for the next measurements.
        if (requestedPercent < percent && isRunningBestEffort(task)) {
            void this.sendPace(task, worker, requestedPercent);
        }
    }
}

function isRunningServing(task: Task): boolean {
    return task.step.spec.tailLatencyTargetMs > 0 && isRunning(task);
}

function isRunningBestEffort(task: Task): boolean {
    return task.step.spec.isBestEffort && isRunning(task);
}

function isRunning(task: Task): boolean {
    return task.phase === TaskPhase.Running
        || (task.phase === TaskPhase.Ordered && task.orderSettledAtMs !== Infinity && task.step.spec.isBestEffort);
}

/**
 * Whether this coordinator ordered the newest run. For a run that was taken over, `orderedAtMs` isn't earlier than
 * `firstSeenAtMs`.
 */
function isOrderedHere(task: Task): boolean {
    return task.orderedAtMs > 0 && (task.firstSeenAtMs === 0 || task.orderedAtMs < task.firstSeenAtMs);
}

function isThrottled(task: Task): boolean {
    return task.measurement < task.step.spec.cpuMillis * THROTTLED_SHARE;
}
