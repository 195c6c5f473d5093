import { OrderOutcome } from "@sardinestage/describe-ports";
import { formatTaskKey } from "@sardinestage/describe-work";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { FillerView, PaceRules, ServerView } from "@sardinestage/plan-pace";
import { planPace } from "@sardinestage/plan-pace";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import { chooseRiseWait } from "./chooseRiseWait.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { estimateTaken } from "./estimateTaken.js";
import type { OrderDesk } from "./orderDesk.js";
import type { ServingBook } from "./servingBook.js";
import type { WorkerLink } from "./workerLink.js";

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

/** Slows filling tasks where serving tasks beside them suffer, and stops them where that isn't enough. */
export class PaceDesk {
    private readonly rules: Omit<PaceRules, "riseWaitMs">;
    private readonly underWay = new Set<Task>();

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

    /** Reacts to the figures that a worker has just listed. */
    handleFigures(link: WorkerLink): void {
        const running = [...link.tasks].filter(isAtWork);
        const servers = running.filter(isServing);
        if (servers.length === 0) {
            return;
        }
        const fillers = running.filter(task => task.step.spec.fillsLeftover);
        link.isShared = fillers.length > 0;
        const nowMs = this.parts.clock.getNow();
        this.serving.takeFigures(link, servers, fillers, nowMs);
        const plan = planPace(
            servers.map(task => this.describeServer(task, nowMs)),
            fillers.map(task => this.describeFiller(task, servers, link)),
            link.pace,
            nowMs,
            { ...this.rules, riseWaitMs: chooseRiseWait(this.parts.getLoopDelay()) },
        );
        link.pace = plan.state;
        for (const task of fillers) {
            const percent = plan.percents.get(formatTaskKey(task.ref)) ?? FULL_PERCENT;
            if (plan.mustStop && task.pace > 0) {
                this.orders.sendStop(task, link, "harm");
            }
            else if (task.pace !== percent && !this.underWay.has(task)) {
                void this.sendPace(task, link, percent);
            }
        }
    }

    private describeServer(task: Task, nowMs: number): ServerView {
        return {
            headroom: task.figure > 0 ? task.step.spec.tailTargetMs / task.figure : undefined,
            aloneHeadroom: this.serving.estimateHeadroom(task, nowMs + this.rules.settleMs),
        };
    }

    private describeFiller(task: Task, servers: readonly Task[], link: WorkerLink): FillerView<string> {
        const harms = servers.map(server =>
            estimateTaken(this.estimator, server.step.spec.image, task.step.spec, link.entry.capacity.cpuMillis)
        );
        return { key: formatTaskKey(task.ref), harms, percent: task.pace, pacedAtMs: task.pacedAtMs };
    }

    private async sendPace(task: Task, link: WorkerLink, percent: number): Promise<void> {
        const { workers, term, metrics } = this.parts;
        const { id, address } = link.entry;
        const { run } = task;
        this.underWay.add(task);
        metrics.count("pace_orders_total", percent < task.pace ? "down" : "up");
        const outcome = await workers.pace({ id, address }, task.ref, run, percent, term);
        this.underWay.delete(task);
        if (outcome === OrderOutcome.Accepted && task.run === run) {
            task.pace = percent;
            task.pacedAtMs = this.parts.clock.getNow();
        }
        else if (outcome === OrderOutcome.StaleFence) {
            this.parts.onDeposed("pace:stale-fence");
        }
    }
}

function isServing(task: Task): boolean {
    return task.step.spec.tailTargetMs > 0;
}

function isAtWork(task: Task): boolean {
    return task.phase === TaskPhase.Running
        || (task.phase === TaskPhase.Ordered && task.settledAtMs !== Infinity && task.step.spec.fillsLeftover);
}
