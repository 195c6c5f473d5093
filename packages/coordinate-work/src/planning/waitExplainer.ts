import type { StartRules, StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { explainWait, hasCapacity, isAllowedOn, WaitReason } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { IdleReason } from "../idle/idleReason.js";
import { computeStartsLeft } from "../workers/computeStartsLeft.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { buildWorkerCapacity } from "./buildWorkerCapacity.js";
import { listEvacuatedCapacities } from "./listEvacuatedCapacities.js";

/** The most steps that are explained after one round; each is compared with every worker. */
const MAX_STEPS = 24;

const REASONS: Readonly<Record<WaitReason, IdleReason>> = {
    [WaitReason.NotAllowed]: IdleReason.NoWorkerAllowed,
    [WaitReason.WorkersUnusable]: IdleReason.WorkersReserved,
    [WaitReason.Accelerators]: IdleReason.Accelerators,
    [WaitReason.Memory]: IdleReason.Memory,
    [WaitReason.Processor]: IdleReason.Processor,
    [WaitReason.ReservedForOthers]: IdleReason.WorkersReserved,
    [WaitReason.OwnReservation]: IdleReason.OwnReservation,
    [WaitReason.StepLimit]: IdleReason.StepLimit,
    [WaitReason.Advice]: IdleReason.Advice,
    [WaitReason.Headroom]: IdleReason.Headroom,
    [WaitReason.Gang]: IdleReason.Gang,
    [WaitReason.Evacuated]: IdleReason.Evacuated,
    [WaitReason.NextRound]: IdleReason.NextRound,
};

/** A planning round that has matched demands with workers. */
interface PlannedRound {
    /** The demands that found no capacity. */
    readonly unmet: readonly StepDemand[];
    /** The free capacity of the workers after the round. */
    readonly capacities: readonly WorkerCapacity[];
    readonly rules: StartRules;
    /** When the round was planned, in steady milliseconds. */
    readonly plannedAtMs: number;
}

/**
 * Explains why long-running tasks have no worker after a planning round. Nothing is kept of other demands, whose lists
 * of tasks may be long.
 */
export class WaitExplainer {
    private unmet = new Map<StepRun, StepDemand>();
    private round: PlannedRound | undefined;
    private isHeldBack = false;
    private explained = new Map<StepRun, IdleReason>();
    private withheld: readonly WorkerCapacity[] | undefined;
    private evacuated: readonly WorkerCapacity[] | undefined;

    /** @param listWorkers Lists all workers, also those that may get no start. */
    constructor(private readonly listWorkers: () => Iterable<TrackedWorker>) {}

    /** Notes a round that planned starts. */
    noteRound(round: PlannedRound): void {
        const unmet = round.unmet.filter(demand => demand.step.spec.longRunning);
        this.round = unmet.length > 0 ? { ...round, unmet } : undefined;
        this.unmet = new Map(unmet.map(demand => [demand.step, demand]));
        this.isHeldBack = false;
        this.explained = new Map();
        this.withheld = undefined;
        this.evacuated = undefined;
    }

    /** Notes a round that planned nothing, since too many starts wait to be sent. */
    noteHeldBack(): void {
        this.isHeldBack = true;
    }

    /** Explains why the waiting tasks of a step have no worker. */
    explainWaiting(step: StepRun): IdleReason {
        if (this.isHeldBack) {
            return IdleReason.StartsHeldBack;
        }
        const demand = this.unmet.get(step);
        if (demand === undefined || this.round === undefined) {
            return IdleReason.NotReached;
        }
        const known = this.explained.get(step);
        if (known !== undefined) {
            return known;
        }
        if (this.explained.size >= MAX_STEPS) {
            return IdleReason.NotExamined;
        }
        const reason = this.findReason(demand, this.round);
        this.explained.set(step, reason);
        return reason;
    }

    private findReason(demand: StepDemand, round: PlannedRound): IdleReason {
        this.evacuated ??= listEvacuatedCapacities(this.listWorkers(), round.plannedAtMs);
        const reason = REASONS[explainWait(demand, round.capacities, round.rules, this.evacuated)];
        if (reason === IdleReason.NextRound || reason === IdleReason.Advice || reason === IdleReason.Evacuated) {
            return reason;
        }
        this.withheld ??= this.listWithheld(round.plannedAtMs);
        const { step } = demand;
        const isWithheld = this.withheld.some(worker =>
            isAllowedOn(step, worker) && hasCapacity(worker, step.spec, false)
        );
        return isWithheld ? IdleReason.WorkersWithheld : reason;
    }

    /** Lists the free capacity of the listed workers that may get no start, as if they may get one. */
    private listWithheld(nowMs: number): readonly WorkerCapacity[] {
        return [...this.listWorkers()]
            .filter(worker => !worker.isUnlisted && computeStartsLeft(worker, nowMs) === 0)
            .map(worker => buildWorkerCapacity(worker, 1, () => undefined));
    }
}
