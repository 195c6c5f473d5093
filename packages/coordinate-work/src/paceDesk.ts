import { OrderOutcome } from "@sardinestage/describe-ports";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { FillerView, PaceRules, ServerView } from "@sardinestage/plan-pace";
import { isHarmNews, planPace } from "@sardinestage/plan-pace";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import { chooseRiseWait } from "./chooseRiseWait.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { estimateTaken } from "./estimateTaken.js";
import type { OrderDesk } from "./orderDesk.js";
import type { ServingBook } from "./servingBook.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** The figures of a worker cover this time, in milliseconds. */
const FIGURE_WINDOW_MS = 500;
/** Share of the bound on harm after which what does harm stands still. */
const HALT_SHARE = 0.15;
/** Share of the bound on harm after which everything that fills stands still. */
const HALT_ALL_SHARE = 0.4;
/** Share of the bound on harm after which standing still is taken not to help. */
const STOP_SHARE = 0.6;
const FULL_PERCENT = 100;
/** A task is told to work faster only by so much at least, in percent of its full speed: less isn't worth a call. */
const LEAST_RISE_PERCENT = 30;

/** A run that another coordinator started uses less than this share of its processor if it was slowed. */
const SLOWED_SHARE = 0.5;

/** A filling task's run, since it was first decided on. */
interface DecidedRun {
    readonly run: number;
    /** Whether its pace is known: a run that was found at work may have been slowed by another coordinator. */
    isPaceKnown: boolean;
}

/** Slows filling tasks where serving tasks beside them suffer, and stops them where that isn't enough. */
export class PaceDesk {
    private readonly rules: Omit<PaceRules, "riseWaitMs">;
    private readonly decidedAtMs = new WeakMap<TrackedWorker, number>();
    private readonly decided = new WeakMap<Task, DecidedRun>();
    /** Tasks with an order under way, and the pace that each ought to have by now. */
    private readonly wanted = new Map<Task, number>();

    constructor(
        private readonly parts: CoordinatorParts,
        private readonly orders: OrderDesk,
        private readonly estimator: HeadroomEstimator,
        private readonly serving: ServingBook,
    ) {
        const { harmMs, paceMs } = parts.rules;
        this.rules = {
            settleMs: paceMs + FIGURE_WINDOW_MS,
            haltAfterMs: harmMs * HALT_SHARE,
            haltAllAfterMs: harmMs * HALT_ALL_SHARE,
            stopAfterMs: harmMs * STOP_SHARE,
            leastRisePercent: LEAST_RISE_PERCENT,
        };
    }

    /** Reacts to the figures that a worker has just listed, where they say something new. */
    handleFigures(link: TrackedWorker): void {
        const nowMs = this.parts.clock.getNow();
        let servers = 0;
        let fillers = 0;
        let isOver = false;
        let isBegun = false;
        for (const task of link.tasks) {
            if (isFilling(task)) {
                fillers++;
                isBegun ||= this.decided.get(task)?.run !== task.run;
            }
            if (isServing(task)) {
                servers++;
                isOver ||= task.figure > task.step.spec.tailTargetMs;
            }
        }
        link.hasMixedTasks = servers > 0 && fillers > 0;
        const decidedAtMs = this.decidedAtMs.get(link) ?? -Infinity;
        if (
            isBegun || this.serving.hasNews(link, nowMs)
            || isHarmNews(link.pace, isOver, decidedAtMs, nowMs, this.rules)
        ) {
            this.decidedAtMs.set(link, nowMs);
            this.updatePaces(link, nowMs);
        }
    }

    private updatePaces(link: TrackedWorker, nowMs: number): void {
        const servers: Task[] = [];
        const fillers: Task[] = [];
        for (const task of link.tasks) {
            if (isServing(task)) {
                servers.push(task);
            }
            if (isFilling(task)) {
                fillers.push(task);
            }
        }
        this.serving.takeFigures(link, servers, fillers, nowMs);
        const plan = planPace(
            servers.map(task => this.describeServer(task, nowMs, fillers.length > 0)),
            this.describeFillers(fillers, servers, link),
            link.pace,
            nowMs,
            { ...this.rules, riseWaitMs: chooseRiseWait(this.parts.getLoopDelay()) },
        );
        link.pace = plan.state;
        for (const task of fillers) {
            const percent = plan.percents.get(task) ?? FULL_PERCENT;
            if (plan.mustStop && task.pace > 0) {
                this.orders.sendStop(task, link, "harm");
            }
            else {
                this.applyPace(task, link, percent);
            }
        }
    }

    private describeServer(task: Task, nowMs: number, isShared: boolean): ServerView {
        return {
            headroom: task.figure > 0 ? task.step.spec.tailTargetMs / task.figure : undefined,
            aloneHeadroom: isShared ? this.serving.estimateHeadroom(task, nowMs + this.rules.settleMs) : undefined,
        };
    }

    private describeFillers(
        fillers: readonly Task[],
        servers: readonly Task[],
        link: TrackedWorker,
    ): FillerView<Task>[] {
        const known = new Map<StepRun, readonly number[]>();
        return fillers.map(task => {
            const harms = known.get(task.step)
                ?? servers.map(server =>
                    estimateTaken(this.estimator, server.step.spec.image, task.step.spec, link.entry.capacity.cpuMillis)
                );
            known.set(task.step, harms);
            return { key: task, harms, percent: this.wanted.get(task) ?? task.pace, pacedAtMs: task.pacedAtMs };
        });
    }

    private applyPace(task: Task, link: TrackedWorker, percent: number): void {
        let decided = this.decided.get(task);
        if (decided?.run !== task.run) {
            decided = { run: task.run, isPaceKnown: isOrderedHere(task) };
            this.decided.set(task, decided);
        }
        if (this.wanted.has(task)) {
            this.wanted.set(task, percent);
        }
        else if (task.pace !== percent || (!decided.isPaceKnown && isSlow(task))) {
            void this.sendPace(task, link, percent);
        }
    }

    private async sendPace(task: Task, link: TrackedWorker, percent: number): Promise<void> {
        const { workers, term, metrics, clock } = this.parts;
        const { id, address } = link.entry;
        const { run } = task;
        this.wanted.set(task, percent);
        metrics.count("pace_orders_total", percent < task.pace ? "down" : "up");
        const outcome = await workers.pace({ id, address }, task.ref, run, percent, term);
        const wanted = this.wanted.get(task) ?? percent;
        this.wanted.delete(task);
        if (outcome === OrderOutcome.StaleFence) {
            this.parts.onTermLost("pace:stale-fence");
            return;
        }
        if (task.run !== run) {
            return;
        }
        if (outcome === OrderOutcome.Accepted) {
            task.pace = percent;
            task.pacedAtMs = clock.getNow();
            this.decided.set(task, { run, isPaceKnown: true });
        }
        // What was decided meanwhile to spare serving tasks doesn't wait for the next figures.
        if (wanted < percent && isFilling(task)) {
            void this.sendPace(task, link, wanted);
        }
    }
}

function isServing(task: Task): boolean {
    return task.step.spec.tailTargetMs > 0 && isAtWork(task);
}

function isFilling(task: Task): boolean {
    return task.step.spec.fillsLeftover && isAtWork(task);
}

function isAtWork(task: Task): boolean {
    return task.phase === TaskPhase.Running
        || (task.phase === TaskPhase.Ordered && task.settledAtMs !== Infinity && task.step.spec.fillsLeftover);
}

/** Whether this coordinator has ordered the newest run; one that it found was first seen before or as it was noted. */
function isOrderedHere(task: Task): boolean {
    return task.orderedAtMs > 0 && (task.seenAtMs === 0 || task.orderedAtMs < task.seenAtMs);
}

function isSlow(task: Task): boolean {
    return task.figure < task.step.spec.cpuMillis * SLOWED_SHARE;
}
