import { OrderOutcome } from "@sardinestage/describe-ports";
import type { PaceRules, ServerView } from "@sardinestage/plan-pace";
import { planPace } from "@sardinestage/plan-pace";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "./coordinatorParts.js";
import type { OrderDesk } from "./orderDesk.js";
import type { WorkerLink } from "./workerLink.js";

/** The figures of a worker cover this time, in milliseconds. */
const FIGURE_WINDOW_MS = 500;
/** Share of the bound on harm after which slowing is taken not to help. */
const STOP_SHARE = 0.6;

/** Slows filling tasks where serving tasks beside them suffer, and stops them where that isn't enough. */
export class PaceDesk {
    private readonly rules: PaceRules;
    private readonly underWay = new Set<Task>();

    constructor(private readonly parts: CoordinatorParts, private readonly orders: OrderDesk) {
        const { harmMs, paceMs } = parts.rules;
        this.rules = { settleMs: paceMs + FIGURE_WINDOW_MS, stopAfterMs: harmMs * STOP_SHARE };
    }

    /** Reacts to the figures that a worker has just listed. */
    handleFigures(link: WorkerLink): void {
        const running = [...link.tasks].filter(task => task.phase === TaskPhase.Running);
        const servers = running.filter(isServing).map(describeServer);
        const plan = planPace(servers, link.pace, this.parts.clock.getNow(), this.rules);
        if (plan.state.percent !== link.pace.percent) {
            this.parts.metrics.count("pace_changes_total", plan.state.percent < link.pace.percent ? "down" : "up");
        }
        link.pace = plan.state;
        for (const task of running) {
            if (!task.step.spec.fillsLeftover) {
                continue;
            }
            if (plan.mustStop && task.pace > 0) {
                this.orders.sendStop(task, link, "harm");
            }
            else if (task.pace !== link.pace.percent && !this.underWay.has(task)) {
                void this.sendPace(task, link, link.pace.percent);
            }
        }
    }

    private async sendPace(task: Task, link: WorkerLink, percent: number): Promise<void> {
        const { workers, term } = this.parts;
        const { id, address } = link.entry;
        const { run } = task;
        this.underWay.add(task);
        const outcome = await workers.pace({ id, address }, task.ref, run, percent, term);
        this.underWay.delete(task);
        if (outcome === OrderOutcome.Accepted && task.run === run) {
            task.pace = percent;
        }
        else if (outcome === OrderOutcome.StaleFence) {
            this.parts.onDeposed("pace:stale-fence");
        }
    }
}

function isServing(task: Task): boolean {
    return task.step.spec.tailTargetMs > 0;
}

function describeServer(task: Task): ServerView {
    return { tailMs: task.figure, targetMs: task.step.spec.tailTargetMs };
}
