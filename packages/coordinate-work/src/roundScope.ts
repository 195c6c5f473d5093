import type { StepDemand } from "@sardinestage/plan-starts";
import { compareDemands, isInterrupted } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { chooseRoundSize } from "./chooseRoundSize.js";
import { FairTurns } from "./fairTurns.js";

/** What the first round may look at: few enough for the slowest VM. */
const FIRST_STEPS = 32;

/** At most this share of a round goes ahead of the turns of the others, unless these leave more. */
const AHEAD_SHARE = 0.5;

/**
 * What one round deals with of all that waits, so that no round takes long; the rest comes first in the next one. What was
 * interrupted, or has room made for it, doesn't queue behind a flood that was there before: it has turns of its own.
 */
export class RoundScope {
    private readonly aheadTurns = new FairTurns<StepRun>();
    private readonly turns = new FairTurns<StepRun>();
    private mostSteps = FIRST_STEPS;

    /** @param longestMs How long a round may take, in milliseconds. */
    constructor(private readonly longestMs: number) {}

    /** Chooses what a round looks at; notes the rest. */
    takeDemands(demands: readonly StepDemand[]): readonly StepDemand[] {
        if (demands.length <= this.mostSteps) {
            this.aheadTurns.noteLeft([]);
            this.turns.noteLeft([]);
            return demands;
        }
        const ahead = demands.filter(isAhead);
        const others = demands.filter(demand => !isAhead(demand));
        const most = Math.max(Math.ceil(this.mostSteps * AHEAD_SHARE), this.mostSteps - others.length);
        const first = takeInTurn(ahead, this.aheadTurns, most);
        return [...first, ...takeInTurn(others, this.turns, this.mostSteps - first.length)];
    }

    /** Takes what a round took, and how many steps it looked at. */
    noteRound(steps: number, tookMs: number): void {
        this.mostSteps = chooseRoundSize({ mostSteps: this.mostSteps, steps, tookMs }, this.longestMs);
    }
}

function isAhead(demand: StepDemand): boolean {
    return isInterrupted(demand) || (demand.promised ?? []).length > 0;
}

function takeInTurn(demands: readonly StepDemand[], turns: FairTurns<StepRun>, most: number): readonly StepDemand[] {
    const byStep = new Map([...demands].sort(compareDemands).map(demand => [demand.step, demand]));
    const ordered = turns.listInTurn([...byStep.keys()]);
    turns.noteLeft(ordered.slice(most));
    return ordered.slice(0, most).flatMap(step => byStep.get(step) ?? []);
}
