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
    /** Tasks that stay waiting, with the reason. */
    readonly refusals: ReadonlyMap<string, PlacementRefusal>;
}

interface OpenWorker {
    readonly worker: CandidateWorker;
    residents: TaskSpec[];
    committed: Resources;
    /** Tasks bound beyond what fits now. */
    ahead: number;
}

/**
 * Decides which waiting tasks are bound to which workers.
 * Guaranteed shares go before urgency, urgency before age; a worker is never given more than it has.
 *
 * @param view What is known.
 * @returns What to bind, and why the rest waits.
 */
export function planPlacement(view: PlacementView): PlacementPlan {
    const shares = new ShareLedger(view);
    const open = view.workers.map(worker => createOpenWorker(worker, view));
    const placements: Placement[] = [];
    const refusals = new Map<string, PlacementRefusal>();
    for (const waiting of listInOrder(view, shares)) {
        const { spec } = waiting;
        if (placements.length >= view.maxPlacements) {
            break;
        }
        const need = computeNeed(spec, view);
        const refusal = resourceMath.fits(need, view.largestWorker)
            ? shares.checkShare(spec)
            : PlacementRefusal.NeverFits;
        const chosen = refusal === undefined ? chooseWorker(waiting, need, open, view) : undefined;
        if (chosen === undefined) {
            refusals.set(spec.taskId, refusal ?? PlacementRefusal.NoRoom);
            continue;
        }
        const ahead = !hasRoom(chosen, need);
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

function createOpenWorker(worker: CandidateWorker, view: PlacementView): OpenWorker {
    const residents = [...worker.residents];
    const open = { worker, residents, committed: resourceMath.none, ahead: 0 };
    // What doesn't fit any more was bound ahead of need.
    for (const spec of residents) {
        const need = computeNeed(spec, view);
        open.ahead += hasRoom(open, need) ? 0 : 1;
        open.committed = resourceMath.add(open.committed, need);
    }
    return open;
}

function hasRoom(open: OpenWorker, need: Resources): boolean {
    return resourceMath.fits(need, resourceMath.subtract(open.worker.capacity, open.committed));
}

type Waiting = PlacementView["waiting"][number];

function listInOrder(view: PlacementView, shares: ShareLedger): Waiting[] {
    const batchFirst = shares.isBatchBelowGuarantee();
    const rank = ({ spec }: Waiting) => {
        const kindRank = spec.kind === WorkKind.LatencyCritical || batchFirst ? 0 : 1;
        return { kindRank, borrowing: shares.computeTeamFill(spec.team) >= 1 ? 1 : 0 };
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
    open: readonly OpenWorker[],
    view: PlacementView,
): OpenWorker | undefined {
    const usable = open.filter(each => !(each.worker.onProbation && each.residents.length > 0));
    const elsewhere = usable.filter(each => !failedOn.includes(each.worker.worker));
    const choices = elsewhere.length > 0 ? elsewhere : usable;
    const roomy = choices.filter(each => hasRoom(each, need));
    if (roomy.length > 0) {
        return chooseCheapest(spec, roomy, open, view);
    }
    if (spec.kind !== WorkKind.Batch || !mayBindAhead) {
        return undefined;
    }
    const full = choices.filter(each => each.ahead < view.bindAhead && resourceMath.fits(need, each.worker.capacity));
    return full.sort((a, b) => a.ahead - b.ahead)[0];
}

function chooseCheapest(
    spec: TaskSpec,
    choices: readonly OpenWorker[],
    open: readonly OpenWorker[],
    view: PlacementView,
): OpenWorker {
    const replicas = countReplicasByRack(spec, open);
    let best = choices[0];
    let lowest = Number.POSITIVE_INFINITY;
    for (const each of choices) {
        const cost = computePlacementCost({
            spec,
            worker: { ...each.worker, residents: each.residents },
            committed: each.committed,
            replicasOnRack: replicas.get(each.worker.rack) ?? 0,
            estimateHarm: view.estimateHarm,
        });
        if (cost < lowest) {
            lowest = cost;
            best = each;
        }
    }
    return best;
}

function countReplicasByRack(spec: TaskSpec, open: readonly OpenWorker[]): Map<string, number> {
    const replicas = new Map<string, number>();
    if (spec.service === undefined) {
        return replicas;
    }
    for (const { worker, residents } of open) {
        const here = residents.filter(resident => resident.service === spec.service).length;
        replicas.set(worker.rack, (replicas.get(worker.rack) ?? 0) + here);
    }
    return replicas;
}
