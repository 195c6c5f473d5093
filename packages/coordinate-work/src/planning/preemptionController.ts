import type { Preemption, StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { isInterrupted, PreemptionPlanner } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { OrderSender } from "../orders/orderSender.js";
import type { Fleet } from "../workers/fleet.js";
import type { AdviceCache } from "./adviceCache.js";
import type { CapacityReservations } from "./capacityReservations.js";
import { RoundRobin } from "./roundRobin.js";

/** The most steps for which one round preempts tasks. */
const MAX_STEPS_PER_ROUND = 4;
/** The most tasks of one interrupted step for which one round preempts tasks. */
const MAX_INTERRUPTED_TASKS_PER_ROUND = 16;

/** Dependencies of a preemption controller. */
interface PreemptionControllerParts {
    readonly fleet: Fleet;
    readonly orders: OrderSender;
    readonly reservations: CapacityReservations;
    readonly advice: AdviceCache;
    /** The time limit of a round, in milliseconds. */
    readonly maxRoundMs: number;
}

/** Preempts tasks of lower priority to free capacity for demands that the round couldn't place. */
export class PreemptionController {
    private readonly roundRobin = new RoundRobin<StepRun>();

    constructor(
        private readonly parts: CoordinatorParts,
        private readonly collaborators: PreemptionControllerParts,
    ) {}

    /**
     * Preempts tasks for unmet demands within the time limit of the round, and reserves the capacity that the stops
     * free. Steps that the time limit leaves out come first in the next round.
     *
     * @param unmet The demands that found no capacity, the most urgent first.
     * @param capacities The free capacity of the workers.
     * @param nowMs When the round's planning began, in steady milliseconds.
     */
    runPreemption(unmet: readonly StepDemand[], capacities: readonly WorkerCapacity[], nowMs: number): void {
        const bySteps = new Map(unmet.map(demand => [demand.step, demand]));
        const planner = new PreemptionPlanner(
            capacities,
            id => this.collaborators.fleet.workers.get(id)?.tasks ?? [],
            (task, workerId) => this.collaborators.advice.isAdvised(task, workerId),
        );
        const skipped: StepRun[] = [];
        let preemptions = 0;
        let attempts = 0;
        for (const step of this.roundRobin.listInTurn([...bySteps.keys()])) {
            const demand = bySteps.get(step);
            const count = demand === undefined ? 0 : this.countNeeded(demand, nowMs);
            if (demand === undefined || count === 0 || preemptions >= MAX_STEPS_PER_ROUND) {
                continue;
            }
            // A round whose planning used up the time limit still tries one step.
            if (attempts > 0 && this.parts.clock.getNow() - nowMs >= this.collaborators.maxRoundMs) {
                skipped.push(step);
                continue;
            }
            attempts++;
            preemptions += this.tryPreempting(demand, count, planner, nowMs) ? 1 : 0;
        }
        this.roundRobin.recordSkipped(skipped);
    }

    /**
     * Counts the tasks to free capacity for now: one of a step at a time, or all that wait if the step was interrupted.
     */
    private countNeeded(demand: StepDemand, nowMs: number): number {
        const reserved = this.collaborators.reservations.list(demand.step, nowMs).length;
        if (isInterrupted(demand)) {
            const waiting = demand.waiting.filter(task => task.phase === TaskPhase.Waiting).length;
            return Math.min(MAX_INTERRUPTED_TASKS_PER_ROUND, Math.max(0, waiting - reserved));
        }
        const isUseful = demand.lateSlackMs >= 0 || demand.step.spec.longRunning;
        return isUseful && reserved === 0 ? 1 : 0;
    }

    private tryPreempting(demand: StepDemand, count: number, planner: PreemptionPlanner, nowMs: number): boolean {
        let planned = 0;
        while (planned < count) {
            const preemption = planner.plan(demand);
            if (preemption === undefined) {
                break;
            }
            this.stopVictims(demand.step, preemption, nowMs);
            planned++;
        }
        return planned > 0;
    }

    private stopVictims(step: StepRun, preemption: Preemption, nowMs: number): void {
        const worker = this.collaborators.fleet.workers.get(preemption.workerId);
        if (worker !== undefined) {
            this.collaborators.reservations.add(step, preemption.workerId, nowMs);
            preemption.victims.forEach(victim => this.collaborators.orders.sendStop(victim, worker, "displaced"));
        }
    }
}
