import type { StepSpec } from "@sardinestage/describe-work";
import type { CapacityLedger } from "./capacityLedger.js";
import { EligibleWorkers } from "./eligibleWorkers.js";
import { hasCapacity } from "./hasCapacity.js";
import { isAllowedOn } from "./isAllowedOn.js";
import type { PlannedStart } from "./plannedStart.js";
import type { RankingCache } from "./rankingCache.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerRanking } from "./workerRanking.js";
import type { WorkerRoom } from "./workerRoom.js";

/**
 * Places all tasks of a gang, or none: part of a gang would only hold room. A gang that is faster in one rack is
 * tried rack by rack first.
 *
 * @param starts Takes the starts when the whole gang found room.
 * @returns Whether it did.
 */
export function planGang(
    demand: StepDemand,
    ledger: CapacityLedger,
    rankings: RankingCache,
    rules: StartRules,
    starts: PlannedStart[],
): boolean {
    const { step, waiting } = demand;
    if (waiting.length < step.tasks.length || waiting.length === 0) {
        return true;
    }
    const allowed = ledger.workers.filter(room => isAllowedOn(step, room));
    const usable = allowed.filter(room => hasCapacity(room, step.spec) && rules.isAdvised(waiting[0], room.workerId));
    if (!isGangFitting(demand, usable)) {
        return false;
    }
    const racks = step.spec.sameRack ? [...new Set(allowed.map(room => room.rack))] : [];
    const rack = racks.find(each => isGangFitting(demand, usable.filter(room => room.rack === each)));
    const ranking = rack === undefined
        ? rankings.resolve(step, false)
        : rankings.createRanking(step, false, room => room.rack === rack);
    bindMembers(demand, ledger, ranking, new Set(usable), starts);
    return true;
}

/** Members are alike, so whether they fit doesn't depend on who goes where. */
function isGangFitting(demand: StepDemand, rooms: readonly WorkerRoom[]): boolean {
    let left = demand.waiting.length;
    return rooms.some(room => {
        left -= countFitting(room, demand.step.spec, left);
        return left <= 0;
    });
}

/** How many tasks of a step fit into a room, up to so many. */
function countFitting(room: WorkerRoom, spec: StepSpec, most: number): number {
    const limit = Math.min(most, spec.maxTasksPerWorker === 0 ? most : spec.maxTasksPerWorker);
    const left = { ...room };
    let fitting = 0;
    while (fitting < limit && hasCapacity(left, spec)) {
        left.freeCpuMillis -= spec.fillsLeftover ? 0 : spec.cpuMillis;
        left.freeMemoryMb -= spec.memoryMb;
        left.freeAccelerators -= spec.accelerators;
        left.startsLeft--;
        fitting++;
    }
    return fitting;
}

function bindMembers(
    demand: StepDemand,
    ledger: CapacityLedger,
    ranking: WorkerRanking,
    usable: ReadonlySet<WorkerRoom>,
    starts: PlannedStart[],
): void {
    const { step } = demand;
    const { maxTasksPerWorker } = step.spec;
    const perWorker = new Map<number, number>();
    const open = new EligibleWorkers(ranking, ({ index }) => {
        const isFull = maxTasksPerWorker > 0 && (perWorker.get(index) ?? 0) >= maxTasksPerWorker;
        return !isFull && usable.has(ledger.workers[index]);
    });
    for (const task of demand.waiting) {
        const best = open.removeBest();
        if (best === undefined) {
            throw new Error("A gang that fits found no room.");
        }
        ledger.allocate(best.index, step);
        perWorker.set(best.index, (perWorker.get(best.index) ?? 0) + 1);
        starts.push({ task, workerId: ledger.workers[best.index].workerId });
    }
    open.close();
}
