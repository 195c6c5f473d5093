import type { StepDemand } from "@sardinestage/plan-starts";
import { compareDemands, isInterrupted } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { chooseRoundSize } from "./chooseRoundSize.js";
import { RoundRobin } from "./roundRobin.js";

/** Steps that the first round handles: few enough for the slowest VM. */
const INITIAL_STEPS = 32;

/** Prioritized demands get at most this share of a round, or more if the other demands don't need the rest. */
const PRIORITY_SHARE = 0.5;

/**
 * Picks the demands that one round handles, so that no round takes long. The skipped demands come first in the next
 * round. Demands that were interrupted or have reserved capacity are prioritized: they have a round robin of their own,
 * so they don't queue behind a flood of earlier demands.
 */
export class DemandSelector {
    private readonly priorityRoundRobin = new RoundRobin<StepRun>();
    private readonly roundRobin = new RoundRobin<StepRun>();
    private maxSteps = INITIAL_STEPS;

    /**
     * @param maxRoundMs The time limit of a round, in milliseconds.
     * @param hasReservation Whether a step has a reserved start.
     */
    constructor(
        private readonly maxRoundMs: number,
        private readonly hasReservation: (step: StepRun) => boolean = () => false,
    ) {}

    /** Picks the demands that a round handles and records the others as skipped. */
    pickDemands(demands: readonly StepDemand[]): readonly StepDemand[] {
        if (demands.length <= this.maxSteps) {
            this.priorityRoundRobin.recordSkipped([]);
            this.roundRobin.recordSkipped([]);
            return demands;
        }
        const prioritized = demands.filter(demand => this.hasPriority(demand));
        const others = demands.filter(demand => !this.hasPriority(demand));
        const maxCount = Math.max(Math.ceil(this.maxSteps * PRIORITY_SHARE), this.maxSteps - others.length);
        const first = pickInTurn(prioritized, this.priorityRoundRobin, maxCount);
        return [...first, ...pickInTurn(others, this.roundRobin, this.maxSteps - first.length)];
    }

    /** Records how many steps a round handled and how long it took, in milliseconds. */
    recordRound(steps: number, tookMs: number): void {
        this.maxSteps = chooseRoundSize({ maxSteps: this.maxSteps, steps, tookMs }, this.maxRoundMs);
    }

    private hasPriority(demand: StepDemand): boolean {
        return isInterrupted(demand) || (demand.reservedWorkerIds ?? []).length > 0 || this.hasReservation(demand.step);
    }
}

function pickInTurn(
    demands: readonly StepDemand[],
    roundRobin: RoundRobin<StepRun>,
    maxCount: number,
): readonly StepDemand[] {
    const byStep = new Map([...demands].sort(compareDemands).map(demand => [demand.step, demand]));
    const ordered = roundRobin.listInTurn([...byStep.keys()]);
    roundRobin.recordSkipped(ordered.slice(maxCount));
    return ordered.slice(0, maxCount).flatMap(step => byStep.get(step) ?? []);
}
