import type { Resources, TaskSpec } from "@sardinestage/types";
import { WorkKind } from "@sardinestage/types";
import type { CandidateWorker } from "./candidateWorker.js";
import { computePlacementCost } from "./computePlacementCost.js";
import type { Placement } from "./placement.js";
import { PlacementRefusal } from "./placementRefusal.js";
import type { PlacementView } from "./placementView.js";
import { resourceMath } from "./resourceMath.js";
import { ShareLedger } from "./shareLedger.js";

interface PlacementPlan {
    readonly placements: readonly Placement[];
    /** Why each task that could not be placed keeps waiting, by task id. */
    readonly refusals: ReadonlyMap<string, PlacementRefusal>;
}

/** A worker with the tasks that the plan has given it so far. */
interface PlannedWorker {
    readonly worker: CandidateWorker;
    residents: TaskSpec[];
    committed: Resources;
    /** How many tasks are bound ahead, beyond the worker's free capacity. */
    ahead: number;
}

/**
 * Decides which waiting tasks are bound to which workers. Services come before batch work, unless batch work is below
 * its guaranteed share. Then teams below their guaranteed share come first, then more urgent tasks, then older ones.
 * Apart from batch tasks that are bound ahead, a worker never gets more than its capacity.
 *
 * @param view The waiting tasks, the candidate workers, and the limits.
 * @returns The bindings, and for each task that could not be placed the reason. Tasks after the last of `maxPlacements`
 * bindings are not considered and have no reason.
 */
export function planPlacement(view: PlacementView): PlacementPlan {
    const shares = new ShareLedger(view);
    const workers = view.workers.map(worker => createPlannedWorker(worker, view));
    const placements: Placement[] = [];
    const refusals = new Map<string, PlacementRefusal>();
    for (const waiting of listInOrder(view, shares)) {
        const { spec } = waiting;
        if (placements.length >= view.maxPlacements) {
            break;
        }
        const need = computeNeed(spec, view);
        const refusal = resourceMath.fits(need, view.largestWorker)
            ? shares.findShareRefusal(spec)
            : PlacementRefusal.NeverFits;
        const chosen = refusal === undefined ? chooseWorker(waiting, need, workers, view) : undefined;
        if (chosen === undefined) {
            refusals.set(spec.taskId, refusal ?? PlacementRefusal.NoRoom);
            continue;
        }
        const ahead = !hasFreeCapacity(chosen, need);
        placements.push({ taskId: spec.taskId, worker: chosen.worker.worker, ahead });
        shares.add(spec);
        chosen.residents.push(spec);
        chosen.committed = resourceMath.add(chosen.committed, need);
        chosen.ahead += ahead ? 1 : 0;
    }
    return { placements, refusals };
}

function computeNeed(spec: TaskSpec, view: PlacementView): Resources {
    return resourceMath.max(spec.size, view.estimateSize(spec));
}

function createPlannedWorker(worker: CandidateWorker, view: PlacementView): PlannedWorker {
    const residents = [...worker.residents];
    const planned = { worker, residents, committed: resourceMath.none, ahead: 0 };
    // A task that does not fit beside the tasks before it was bound ahead.
    for (const spec of residents) {
        const need = computeNeed(spec, view);
        planned.ahead += hasFreeCapacity(planned, need) ? 0 : 1;
        planned.committed = resourceMath.add(planned.committed, need);
    }
    return planned;
}

function hasFreeCapacity(planned: PlannedWorker, need: Resources): boolean {
    return resourceMath.fits(need, resourceMath.subtract(planned.worker.capacity, planned.committed));
}

type Waiting = PlacementView["waiting"][number];

function listInOrder(view: PlacementView, shares: ShareLedger): Waiting[] {
    const batchFirst = shares.isBatchBelowGuarantee();
    const rank = ({ spec }: Waiting) => {
        const kindRank = spec.kind === WorkKind.LatencyCritical || batchFirst ? 0 : 1;
        return { kindRank, borrowing: shares.computeGuaranteedShareUse(spec.team) >= 1 ? 1 : 0 };
    };
    return view.waiting
        .map((waiting, index) => ({ waiting, index, ...rank(waiting) }))
        .sort((a, b) =>
            a.kindRank - b.kindRank
            || a.borrowing - b.borrowing
            || b.waiting.spec.urgency - a.waiting.spec.urgency
            || a.index - b.index
        )
        .map(ranked => ranked.waiting);
}

function chooseWorker(
    { spec, failedOn, mayBindAhead }: Waiting,
    need: Resources,
    workers: readonly PlannedWorker[],
    view: PlacementView,
): PlannedWorker | undefined {
    const usable = workers.filter(each => !(each.worker.onProbation && each.residents.length > 0));
    const withoutFailure = usable.filter(each => !failedOn.includes(each.worker.worker));
    const choices = withoutFailure.length > 0 ? withoutFailure : usable;
    const fitting = choices.filter(each => hasFreeCapacity(each, need));
    if (fitting.length > 0) {
        return chooseCheapest(spec, fitting, workers, view);
    }
    if (spec.kind !== WorkKind.Batch || !mayBindAhead) {
        return undefined;
    }
    const full = choices.filter(each => each.ahead < view.bindAhead && resourceMath.fits(need, each.worker.capacity));
    return full.sort((a, b) => a.ahead - b.ahead)[0];
}

function chooseCheapest(
    spec: TaskSpec,
    choices: readonly PlannedWorker[],
    workers: readonly PlannedWorker[],
    view: PlacementView,
): PlannedWorker {
    const replicas = countReplicasByRack(spec, workers);
    let best = choices[0];
    let lowest = Number.POSITIVE_INFINITY;
    for (const each of choices) {
        const cost = computePlacementCost({
            spec,
            worker: { ...each.worker, residents: each.residents },
            committed: each.committed,
            replicasOnRack: replicas.get(each.worker.rack) ?? 0,
            estimateInterference: view.estimateInterference,
        });
        if (cost < lowest) {
            lowest = cost;
            best = each;
        }
    }
    return best;
}

function countReplicasByRack(spec: TaskSpec, workers: readonly PlannedWorker[]): Map<string, number> {
    const replicas = new Map<string, number>();
    if (spec.service === undefined) {
        return replicas;
    }
    for (const { worker, residents } of workers) {
        const here = residents.filter(resident => resident.service === spec.service).length;
        replicas.set(worker.rack, (replicas.get(worker.rack) ?? 0) + here);
    }
    return replicas;
}
