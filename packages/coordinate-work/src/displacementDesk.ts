import type { Displacement, StepDemand, WorkerRoom } from "@sardinestage/plan-starts";
import { DisplacementPlanner, isInterrupted } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { AdviceBook } from "./adviceBook.js";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { FairTurns } from "./fairTurns.js";
import type { Fleet } from "./fleet.js";
import type { OrderDesk } from "./orderDesk.js";
import type { PromisedRooms } from "./promisedRooms.js";

/** Steps for which room is made in one round. */
const STEPS_A_ROUND = 4;
/** Tasks of one interrupted step for which room is made in one round. */
const INTERRUPTED_A_ROUND = 16;

/** What a displacement desk works on. */
interface DisplacementDeskParts {
    readonly fleet: Fleet;
    readonly orders: OrderDesk;
    readonly promises: PromisedRooms;
    readonly advice: AdviceBook;
    /** How long a round may take, in milliseconds. */
    readonly longestMs: number;
}

/** Stops work of lower priority for what found no room. */
export class DisplacementDesk {
    private readonly turns = new FairTurns<StepRun>();

    constructor(private readonly parts: CoordinatorParts, private readonly desk: DisplacementDeskParts) {}

    /**
     * Makes room, as far as the round's time goes.
     *
     * @param unmet What found none, the most urgent first.
     * @param rooms What the workers have left.
     * @param nowMs When the round's planning began, in steady milliseconds.
     */
    stopOthers(unmet: readonly StepDemand[], rooms: readonly WorkerRoom[], nowMs: number): void {
        const bySteps = new Map(unmet.map(demand => [demand.step, demand]));
        const planner = new DisplacementPlanner(
            rooms,
            id => this.desk.fleet.workers.get(id)?.tasks ?? [],
            (task, workerId) => this.desk.advice.isAdvised(task, workerId),
        );
        const left: StepRun[] = [];
        let displacements = 0;
        let tries = 0;
        for (const step of this.turns.listInTurn([...bySteps.keys()])) {
            const demand = bySteps.get(step);
            const count = demand === undefined ? 0 : this.countLacking(demand, nowMs);
            if (demand === undefined || count === 0 || displacements >= STEPS_A_ROUND) {
                continue;
            }
            // A round whose starts took all its time still tries one.
            if (tries > 0 && this.parts.clock.getNow() - nowMs >= this.desk.longestMs) {
                left.push(step);
                continue;
            }
            tries++;
            displacements += this.tryDisplacing(demand, count, planner, nowMs) ? 1 : 0;
        }
        this.turns.noteLeft(left);
    }

    /** For how many tasks of a demand room is to be made now: a step gets it for one at a time, unless it was interrupted. */
    private countLacking(demand: StepDemand, nowMs: number): number {
        const promised = this.desk.promises.list(demand.step, nowMs).length;
        if (isInterrupted(demand)) {
            const waiting = demand.waiting.filter(task => task.phase === TaskPhase.Waiting).length;
            return Math.min(INTERRUPTED_A_ROUND, Math.max(0, waiting - promised));
        }
        const isUseful = demand.lateSlackMs >= 0 || demand.step.spec.longRunning;
        return isUseful && promised === 0 ? 1 : 0;
    }

    private tryDisplacing(demand: StepDemand, count: number, planner: DisplacementPlanner, nowMs: number): boolean {
        let made = 0;
        while (made < count) {
            const found = planner.plan(demand);
            if (found === undefined) {
                break;
            }
            this.stopVictims(demand.step, found, nowMs);
            made++;
        }
        return made > 0;
    }

    private stopVictims(step: StepRun, found: Displacement, nowMs: number): void {
        const link = this.desk.fleet.workers.get(found.workerId);
        if (link !== undefined) {
            this.desk.promises.note(step, found.workerId, nowMs);
            found.victims.forEach(victim => this.desk.orders.sendStop(victim, link, "displaced"));
        }
    }
}
