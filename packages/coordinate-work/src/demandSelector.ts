import type { StepDemand } from "@sardinestage/plan-starts";
import { compareDemands, isInterrupted } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { chooseRoundSize } from "./chooseRoundSize.js";
import { RoundRobin } from "./roundRobin.js";

/** What the first round may look at: few enough for the slowest VM. */
const INITIAL_STEPS = 32;

/** At most this share of a round goes ahead of the turns of the others, unless these leave more. */
const PRIORITY_SHARE = 0.5;

/**
 * What one round deals with of all that waits, so that no round takes long; the rest comes first in the next one. What was
 * interrupted, or has room made for it, doesn't queue behind a flood that was there before: it has turns of its own.
 */
export class DemandSelector {
    private readonly priorityRoundRobin = new RoundRobin<StepRun>();
    private readonly roundRobin = new RoundRobin<StepRun>();
    private maxSteps = INITIAL_STEPS;

    /** @param maxRoundMs How long a round may take, in milliseconds. */
    constructor(private readonly maxRoundMs: number) {}

    /** Chooses what a round looks at; notes the rest. */
    pickDemands(demands: readonly StepDemand[]): readonly StepDemand[] {
        if (demands.length <= this.maxSteps) {
            this.priorityRoundRobin.recordSkipped([]);
            this.roundRobin.recordSkipped([]);
            return demands;
        }
        const ahead = demands.filter(hasPriority);
        const others = demands.filter(demand => !hasPriority(demand));
        const most = Math.max(Math.ceil(this.maxSteps * PRIORITY_SHARE), this.maxSteps - others.length);
        const first = pickInTurn(ahead, this.priorityRoundRobin, most);
        return [...first, ...pickInTurn(others, this.roundRobin, this.maxSteps - first.length)];
    }

    /** Takes what a round took, and how many steps it looked at. */
    recordRound(steps: number, tookMs: number): void {
        this.maxSteps = chooseRoundSize({ maxSteps: this.maxSteps, steps, tookMs }, this.maxRoundMs);
    }
}

function hasPriority(demand: StepDemand): boolean {
    return isInterrupted(demand) || (demand.promised ?? []).length > 0;
}

function pickInTurn(demands: readonly StepDemand[], turns: RoundRobin<StepRun>, most: number): readonly StepDemand[] {
    const byStep = new Map([...demands].sort(compareDemands).map(demand => [demand.step, demand]));
    const ordered = turns.listInTurn([...byStep.keys()]);
    turns.recordSkipped(ordered.slice(most));
    return ordered.slice(0, most).flatMap(step => byStep.get(step) ?? []);
}
