import type { StepDemand } from "@sardinestage/plan-starts";
import { compareDemands } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { chooseRoundSize } from "./chooseRoundSize.js";
import { FairTurns } from "./fairTurns.js";

/** What the first round may look at: few enough for the slowest VM. */
const FIRST_STEPS = 32;

/** What one round deals with of all that waits, so that no round takes long; the rest comes first in the next one. */
export class RoundScope {
    private readonly turns = new FairTurns<StepRun>();
    private mostSteps = FIRST_STEPS;

    /** @param longestMs How long a round may take, in milliseconds. */
    constructor(private readonly longestMs: number) {}

    /** Chooses what a round looks at; notes the rest. */
    takeDemands(demands: readonly StepDemand[]): readonly StepDemand[] {
        if (demands.length <= this.mostSteps) {
            this.turns.noteLeft([]);
            return demands;
        }
        const byStep = new Map([...demands].sort(compareDemands).map(demand => [demand.step, demand]));
        const ordered = this.turns.listInTurn([...byStep.keys()]);
        this.turns.noteLeft(ordered.slice(this.mostSteps));
        return ordered.slice(0, this.mostSteps).flatMap(step => byStep.get(step) ?? []);
    }

    /** Takes what a round took, and how many steps it looked at. */
    noteRound(steps: number, tookMs: number): void {
        this.mostSteps = chooseRoundSize({ mostSteps: this.mostSteps, steps, tookMs }, this.longestMs);
    }
}
