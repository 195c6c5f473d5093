import { formatTaskKey } from "@sardinestage/describe-work";
import type { StepDemand, WorkerRoom } from "@sardinestage/plan-starts";
import { planStarts } from "@sardinestage/plan-starts";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import {
    applyRunStart,
    computeChain,
    computeRemainingChain,
    encodeProgress,
    TaskPhase,
} from "@sardinestage/track-jobs";
import type { AdviceBook } from "./adviceBook.js";
import { computeStartsLeft } from "./computeStartsLeft.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { DisplacementDesk } from "./displacementDesk.js";
import type { DurationEstimator } from "./durationEstimator.js";
import type { Fleet } from "./fleet.js";
import type { JobRegistry } from "./jobRegistry.js";
import { limits } from "./limits.js";
import type { OrderDesk } from "./orderDesk.js";
import type { PlaceJudge } from "./placeJudge.js";
import type { ProgressWriter } from "./progressWriter.js";
import { PromisedRooms } from "./promisedRooms.js";
import { RoomBook } from "./roomBook.js";
import { RoundScope } from "./roundScope.js";
import type { RunTracker } from "./runTracker.js";
import type { ServingBook } from "./servingBook.js";
import { WaitReporter } from "./waitReporter.js";

/** A job that takes longer than this many times its allowed duration is of no more use. */
const USELESS_AFTER = 3;

/** Filling tasks that are moved in one round. */
const MOVES_A_ROUND = 4;
/** A filling task slowed to this share for so long is better off elsewhere, in percent and in milliseconds. */
const HALTED_PERCENT = 20;
const HALTED_MS = 800;
/** Progress up to which a task without checkpoints is moved, in percent. */
const CHEAP_PROGRESS_PERCENT = 10;

/** A fleet of which so much is reserved is busy: filling tasks wait as long as they have to. */
const BUSY_SHARE = 0.55;
/** How long a filling task waits for a milder place in a fleet that isn't, in milliseconds. */
const LONGEST_WAIT_MS = 2000;

/** A place is judged by the load to be expected so much later, in milliseconds: the start and first work of a task. */
const PLACING_AHEAD_MS = 1500;

/** What a round works on. */
interface RoundParts {
    readonly jobs: JobRegistry;
    readonly fleet: Fleet;
    readonly writer: ProgressWriter;
    readonly orders: OrderDesk;
    readonly runs: RunTracker;
    readonly advice: AdviceBook;
    readonly places: PlaceJudge;
    readonly serving: ServingBook;
    readonly durations: DurationEstimator;
}

/** One planning round: gathers what waits and what is free, decides, records, and orders. */
export class WorkRound {
    private readonly readyAtMs = new WeakMap<StepRun, number>();
    private readonly scope: RoundScope;
    private readonly waits: WaitReporter;
    private readonly rooms = new RoomBook();
    private readonly promises = new PromisedRooms();
    private readonly displacements: DisplacementDesk;

    constructor(private readonly parts: CoordinatorParts, private readonly round: RoundParts) {
        this.waits = new WaitReporter(parts.logger);
        const longestMs = parts.rules.leaseMs * limits.maxRoundLeaseShare;
        this.scope = new RoundScope(longestMs);
        this.displacements = new DisplacementDesk(parts, { ...round, promises: this.promises, longestMs });
    }

    /** Runs a round; returns when the next occurrence of a job is due (Unix milliseconds), if one is. */
    run(): number | undefined {
        const { clock } = this.parts;
        const nowMs = clock.getNow();
        const { steps, nextDueMs } = this.round.jobs.listReady(clock.getWallTime());
        this.releaseHalted(nowMs);
        const maxStarts = limits.maxStartsPerRound - this.round.orders.startsWaiting;
        if (steps.length === 0 || maxStarts <= 0) {
            return nextDueMs;
        }
        const rooms = this.rooms.updateRooms(
            this.round.fleet.workers.values(),
            nowMs,
            link => computeStartsLeft(link, nowMs),
            task => this.round.serving.estimatePlaceHeadroom(task, nowMs + PLACING_AHEAD_MS),
        );
        const isBusy = computeReservedShare(rooms) >= BUSY_SHARE;
        const waiting = steps.map(({ step, waiting: tasks }) => this.buildDemand(step, tasks));
        const demands = this.scope.takeDemands(waiting);
        this.round.places.startRound();
        const plannedFromMs = clock.getNow();
        const plan = planStarts(demands, rooms, {
            maxStarts,
            longestWaitMs: isBusy ? Infinity : LONGEST_WAIT_MS,
            isAdvised: (task, workerId) => this.round.advice.isAdvised(task, workerId),
            describePlace: (room, spec) => this.round.places.describePlace(room, spec),
        });
        this.waits.reportUnmet(plan.unmet, rooms, nowMs);
        plan.starts.forEach(({ task, workerId }) => this.startTask(task, workerId, nowMs));
        this.scope.noteRound(demands.length, clock.getNow() - plannedFromMs);
        plan.unmet.forEach(demand => this.requestAdvice(demand, rooms));
        this.displacements.stopOthers(plan.unmet, rooms, plannedFromMs);
        const isPartial = demands.length < waiting.length;
        return isPartial ? clock.getWallTime() : nextDueMs;
    }

    private buildDemand(step: StepRun, waiting: readonly Task[]): StepDemand {
        const { occurrence } = step;
        const { queue } = occurrence.job;
        const estimate = (spec: StepRun["spec"]) => this.round.durations.estimateDuration(queue.name, spec);
        const remainingMs = computeRemainingChain(occurrence, estimate);
        const wholeMs = computeChain(occurrence, each => estimate(each.spec));
        const objectiveMs = queue.stretch * wholeMs + queue.targetLatencyMs;
        const nowMs = this.parts.clock.getNow();
        const readyAtMs = this.readyAtMs.get(step) ?? nowMs;
        this.readyAtMs.set(step, readyAtMs);
        const spentMs = this.parts.clock.getWallTime() - occurrence.dueMs;
        return {
            step,
            waiting,
            isStarted: occurrence.isStarted,
            remainingMs,
            waitedMs: nowMs - readyAtMs,
            slackMs: objectiveMs - spentMs - remainingMs,
            promised: this.promises.list(step, nowMs),
            lateSlackMs: objectiveMs * USELESS_AFTER - spentMs - remainingMs,
        };
    }

    private startTask(task: Task, workerId: string, nowMs: number): void {
        const link = this.round.fleet.workers.get(workerId);
        if (link === undefined) {
            return;
        }
        const run = this.chooseRun(task);
        const { job } = task.step.occurrence;
        applyRunStart(task, workerId, run, nowMs);
        link.tasks.add(task);
        this.promises.noteStart(task, workerId);
        const fields = { task: formatTaskKey(task.ref), run, worker: workerId };
        this.parts.logger.info("run-order", { ...fields, tasksThere: link.tasks.size });
        this.round.writer.schedule(job.id, () => encodeProgress(job));
        this.round.writer.runWhenRecorded(() => this.sendStart(task, run, workerId), true);
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
        const link = this.round.fleet.workers.get(workerId);
        if (task.run !== run || link === undefined || !link.tasks.has(task)) {
            return;
        }
        const isUnwanted = task.step.occurrence.job.isFinished || task.phase !== TaskPhase.Ordered;
        if (isUnwanted) {
            // Stopped before it was sent: nothing can be there.
            this.round.runs.handleLostRun(task, link, "never-sent");
            return;
        }
        this.round.orders.sendStart(task, link);
    }

    /** Filling tasks that stand still beside serving ones give their room back, and wait for a milder place. */
    private releaseHalted(nowMs: number): void {
        let moves = 0;
        for (const task of this.round.jobs.listThrottled()) {
            const link = this.round.fleet.workers.get(task.workerId);
            if (moves < MOVES_A_ROUND && isMovable(task, nowMs) && link?.tasks.has(task) === true) {
                moves++;
                this.round.orders.sendStop(task, link, "moved");
            }
        }
    }

    private requestAdvice(demand: StepDemand, rooms: readonly WorkerRoom[]): void {
        const task = demand.waiting.at(0);
        if (task !== undefined && task.step.occurrence.job.queue.advice !== undefined) {
            this.round.advice.request(task, rooms.map(room => room.workerId));
        }
    }
}

function isMovable(task: Task, nowMs: number): boolean {
    const { spec } = task.step;
    return spec.fillsLeftover && task.phase === TaskPhase.Running && task.pace <= HALTED_PERCENT
        && nowMs - Math.max(task.pacedAtMs, task.seenAtMs) >= HALTED_MS
        && (spec.savesProgress || task.percent <= CHEAP_PROGRESS_PERCENT);
}

function computeReservedShare(rooms: readonly WorkerRoom[]): number {
    const capacity = rooms.reduce((sum, room) => sum + room.capacityCpuMillis, 0);
    const free = rooms.reduce((sum, room) => sum + room.freeCpuMillis, 0);
    return capacity === 0 ? 0 : 1 - free / capacity;
}
