import { formatTaskKey } from "@sardinestage/describe-work";
import type { PlaceView, StepDemand } from "@sardinestage/plan-starts";
import { planDisplacement, planStarts } from "@sardinestage/plan-starts";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import { applyRunStart, computeRemainingChain, TaskPhase } from "@sardinestage/track-jobs";
import type { AdviceBook } from "./adviceBook.js";
import { buildRooms } from "./buildRooms.js";
import { computeStartsLeft } from "./computeStartsLeft.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import type { DurationBook } from "./durationBook.js";
import type { Fleet } from "./fleet.js";
import type { JobBook } from "./jobBook.js";
import { STARTS_A_ROUND } from "./limits.js";
import type { OrderDesk } from "./orderDesk.js";
import type { PaceDesk } from "./paceDesk.js";
import type { ProgressWriter } from "./progressWriter.js";
import type { RunBook } from "./runBook.js";

/** A job that takes longer than this many times its allowed duration is of no more use. */
const USELESS_AFTER = 3;
/** Sets of tasks that are stopped in one round to make room. */
const DISPLACEMENTS_A_ROUND = 4;
/** A step whose tasks were promised room gets no more for so long, in milliseconds. */
const DISPLACEMENT_PAUSE_MS = 1000;

/** A place of which nothing is known. */
const UNKNOWN_PLACE: PlaceView = { strain: 0, isHarmful: false, sameImageShare: 0 };

/** What a round works on. */
interface RoundParts {
    readonly jobs: JobBook;
    readonly fleet: Fleet;
    readonly writer: ProgressWriter;
    readonly orders: OrderDesk;
    readonly runs: RunBook;
    readonly advice: AdviceBook;
    readonly pace: PaceDesk;
    readonly durations: DurationBook;
}

/** One planning round: gathers what waits and what is free, decides, records, and orders. */
export class WorkRound {
    private readonly displacedAtMs = new WeakMap<StepRun, number>();

    constructor(private readonly parts: CoordinatorParts, private readonly round: RoundParts) {}

    /** Runs a round; returns when the next occurrence of a job is due (Unix milliseconds), if one is. */
    run(): number | undefined {
        const { clock } = this.parts;
        const nowMs = clock.getNow();
        const { steps, nextDueMs } = this.round.jobs.listReady(clock.getWallTime());
        if (steps.length === 0) {
            return nextDueMs;
        }
        const rooms = buildRooms(this.round.fleet.links.values(), link => computeStartsLeft(link, nowMs));
        const demands = steps.map(({ step, waiting }) => this.buildDemand(step, waiting));
        const plan = planStarts(demands, rooms, {
            maxStarts: STARTS_A_ROUND,
            isAdvised: (task, workerId) => this.round.advice.isAdvised(task, workerId),
            describePlace: (workerId, spec) => this.describePlace(workerId, spec),
        });
        plan.starts.forEach(({ task, workerId }) => this.orderStart(task, workerId, nowMs));
        let displacements = 0;
        for (const demand of plan.unmet) {
            this.requestAdvice(demand, rooms.map(room => room.workerId));
            if (displacements < DISPLACEMENTS_A_ROUND && this.mayDisplace(demand, nowMs)) {
                const found = planDisplacement(demand, rooms, id => this.round.fleet.links.get(id)?.tasks ?? []);
                displacements += found === undefined ? 0 : 1;
                this.displace(demand, found, nowMs);
            }
        }
        return nextDueMs;
    }

    private describePlace(workerId: string, spec: StepRun["spec"]): PlaceView {
        const link = this.round.fleet.links.get(workerId);
        return link === undefined ? UNKNOWN_PLACE : this.round.pace.describePlace(link, spec);
    }

    private buildDemand(step: StepRun, waiting: Task[]): StepDemand {
        const { occurrence } = step;
        const { queue } = occurrence.job;
        const estimate = (spec: StepRun["spec"]) => this.round.durations.estimateDuration(queue.name, spec);
        const remainingMs = computeRemainingChain(occurrence, estimate);
        const wholeMs = this.computeWholeChain(step, estimate);
        const objectiveMs = queue.stretch * wholeMs + queue.targetLatencyMs;
        const spentMs = this.parts.clock.getWallTime() - occurrence.dueMs;
        return {
            step,
            waiting,
            slackMs: objectiveMs - spentMs - remainingMs,
            lateSlackMs: objectiveMs * USELESS_AFTER - spentMs - remainingMs,
        };
    }

    private computeWholeChain(step: StepRun, estimate: (spec: StepRun["spec"]) => number): number {
        const chains: number[] = [];
        for (const { spec } of step.occurrence.steps) {
            const before = Math.max(0, ...spec.dependsOn.map(earlier => chains[earlier]));
            chains.push(before + estimate(spec));
        }
        return Math.max(0, ...chains);
    }

    private orderStart(task: Task, workerId: string, nowMs: number): void {
        const link = this.round.fleet.links.get(workerId);
        if (link === undefined) {
            return;
        }
        const run = this.chooseRun(task);
        const { job } = task.step.occurrence;
        applyRunStart(task, workerId, run, nowMs);
        link.tasks.add(task);
        const fields = { task: formatTaskKey(task.ref), run, worker: workerId };
        this.parts.logger.info("run-order", { ...fields, tasksThere: link.tasks.size });
        this.round.writer.note(job.id, job);
        this.round.writer.waitRecorded(() => this.sendStart(task, run, workerId), true);
    }

    /** Members of a gang share their run's number, so it is above all that any of them had. */
    private chooseRun(task: Task): number {
        const { step } = task;
        if (!step.spec.gang) {
            return task.run + 1;
        }
        const placed = step.tasks.find(member => member.isActive);
        return placed?.run ?? Math.max(...step.tasks.map(member => member.run)) + 1;
    }

    private sendStart(task: Task, run: number, workerId: string): void {
        const link = this.round.fleet.links.get(workerId);
        if (task.run !== run || link === undefined || !link.tasks.has(task)) {
            return;
        }
        const isUnwanted = task.step.occurrence.job.isFinished || task.phase !== TaskPhase.Ordered;
        if (isUnwanted) {
            // Stopped before it was sent: nothing can be there.
            this.round.runs.loseRun(task, link, "never-sent");
            return;
        }
        this.round.orders.sendStart(task, link);
    }

    private requestAdvice(demand: StepDemand, workers: readonly string[]): void {
        const task = demand.waiting.at(0);
        if (task !== undefined && task.step.occurrence.job.queue.advice !== undefined) {
            this.round.advice.request(task, workers);
        }
    }

    /** A step is given room again only after what it was promised had time to come free. */
    private mayDisplace(demand: StepDemand, nowMs: number): boolean {
        const displacedAtMs = this.displacedAtMs.get(demand.step);
        const isUseful = demand.lateSlackMs >= 0 || demand.step.spec.longRunning;
        return isUseful && (displacedAtMs === undefined || nowMs - displacedAtMs >= DISPLACEMENT_PAUSE_MS);
    }

    private displace(
        demand: StepDemand,
        found: { readonly workerId: string; readonly victims: readonly Task[] } | undefined,
        nowMs: number,
    ): void {
        const link = found === undefined ? undefined : this.round.fleet.links.get(found.workerId);
        if (found === undefined || link === undefined) {
            return;
        }
        this.displacedAtMs.set(demand.step, nowMs);
        found.victims.forEach(victim => this.round.orders.sendStop(victim, link, "displaced"));
    }
}
