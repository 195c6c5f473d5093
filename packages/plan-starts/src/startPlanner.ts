import type { StepRun } from "@sardinestage/track-jobs";
import { CapacityLedger } from "./capacityLedger.js";
import { compareDemands } from "./compareDemands.js";
import type { DemandOutcome } from "./demandOutcome.js";
import { hasFailures } from "./hasFailures.js";
import { planGang } from "./planGang.js";
import type { PlannedStart } from "./plannedStart.js";
import { planTasks } from "./planTasks.js";
import { RankingCache } from "./rankingCache.js";
import { reserveWorkers } from "./reserveWorkers.js";
import type { StartPlan } from "./startPlan.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { TrialAccess } from "./trialAccess.js";
import { UnplaceableDemands } from "./unplaceableDemands.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Outcome of a demand whose tasks don't fit, as those of an earlier one didn't. */
const NOT_TRIED: DemandOutcome = { isMet: false, heldBackCount: 0 };

/** Plans the starts of one round. */
export class StartPlanner {
    private readonly starts: PlannedStart[] = [];
    private readonly unmet: StepDemand[] = [];
    private readonly heldBack: StepDemand[] = [];
    /** What is left of the demands that found no worker and didn't get access to all workers on trial. */
    private readonly withheld: StepDemand[] = [];
    private readonly unplaceable: UnplaceableDemands;
    private readonly ledger: CapacityLedger;
    private readonly rankings: RankingCache;
    private readonly hasTrials: boolean;

    /**
     * @param workers Free capacity of the workers, from which the planned tasks are subtracted.
     * @param rules Limits of the planning round.
     */
    constructor(private readonly workers: readonly WorkerCapacity[], private readonly rules: StartRules) {
        this.unplaceable = new UnplaceableDemands(rules);
        this.ledger = new CapacityLedger(workers, rules.reservations);
        this.rankings = new RankingCache(this.ledger, rules);
        this.hasTrials = workers.some(({ trial }) => trial !== undefined);
    }

    /** Plans the starts of the waiting tasks; called once. */
    plan(demands: readonly StepDemand[]): StartPlan {
        for (const demand of [...demands].sort(compareDemands)) {
            if (this.isFull) {
                break;
            }
            this.planDemand(demand);
        }
        // Only now, so that tasks whose ends tell more come first on workers on trial, whatever their rank.
        const met = new Set(this.withheld.filter(demand => this.planOnTrials(demand)).map(({ step }) => step));
        return { starts: this.starts, unmet: this.listUnmet(met), heldBack: this.heldBack };
    }

    private get isFull(): boolean {
        return this.starts.length >= this.rules.maxStarts;
    }

    private planDemand(demand: StepDemand): void {
        const before = this.starts.length;
        const { isMet, heldBackCount } = this.tryDemand(demand, TrialAccess.Telling);
        if (!isMet) {
            this.noteUnmet(demand, this.starts.slice(before), heldBackCount);
        }
    }

    private planOnTrials(demand: StepDemand): boolean {
        return !this.isFull && this.tryDemand(demand, TrialAccess.All).isMet;
    }

    private tryDemand(demand: StepDemand, access: TrialAccess): DemandOutcome {
        const { rules, ledger, rankings, starts } = this;
        const before = starts.length;
        const plan = demand.step.spec.gang ? planGang : planTasks;
        // A reserved start needs the same room as others that didn't fit, but may use what these may not.
        const mayFit = !this.unplaceable.has(demand) || rules.reservations?.has(demand.step) === true;
        const outcome = mayFit ? plan(demand, ledger, rankings, rules, starts, access) : NOT_TRIED;
        const placed = starts.slice(before);
        rules.reservations?.releaseStarted(demand, placed, ledger);
        if (outcome.heldBackCount > 0) {
            this.heldBack.push(demand);
            const neededCount = demand.waiting.length - placed.length - outcome.heldBackCount;
            rules.reservations?.dropUnneeded(demand, neededCount, ledger);
        }
        return outcome;
    }

    private noteUnmet(demand: StepDemand, placed: readonly PlannedStart[], heldBackCount: number): void {
        const { rules, ledger } = this;
        if (this.hasTrials && hasFailures(demand)) {
            this.withheld.push(removeStarted(demand, placed));
        }
        else if (rules.reservations?.isHeldBack(demand, this.workers) !== true) {
            this.unplaceable.add(demand);
        }
        this.unmet.push(demand);
        if (rules.reservations === undefined) {
            reserveWorkers(demand, placed, ledger, rules);
        }
        else {
            rules.reservations.reserve(demand, placed, ledger, rules, heldBackCount);
        }
    }

    private listUnmet(metLater: ReadonlySet<StepRun>): readonly StepDemand[] {
        return metLater.size === 0 ? this.unmet : this.unmet.filter(({ step }) => !metLater.has(step));
    }
}

function removeStarted(demand: StepDemand, placed: readonly PlannedStart[]): StepDemand {
    const started = new Set(placed.map(({ task }) => task));
    return { ...demand, waiting: demand.waiting.filter(task => !started.has(task)) };
}
