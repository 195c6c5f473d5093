import type { CapacityLedger } from "./capacityLedger.js";
import { computePlacementScore } from "./computePlacementScore.js";
import { computeSpeedPenalty } from "./computeSpeedPenalty.js";
import { hasCapacity } from "./hasCapacity.js";
import { hasLittleSlack } from "./hasLittleSlack.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isInterrupted } from "./isInterrupted.js";
import { MAX_LATENCY_RATIO } from "./maxLatencyRatio.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerCapacity } from "./workerCapacity.js";
import { WorkerRanking } from "./workerRanking.js";

/** Score penalty that leaves reserved workers to the tasks that they are reserved for, as long as another one fits. */
const RESERVED_WORKER_PENALTY = 5;

/** The worker rankings of a planning round. Steps whose tasks score equally share one ranking. */
export class RankingCache {
    private readonly rankings = new Map<string, WorkerRanking>();

    private readonly computeScore: NonNullable<StartRules["computeScore"]>;

    constructor(private readonly ledger: CapacityLedger, private readonly rules: StartRules) {
        this.computeScore = rules.computeScore ?? computePlacementScore;
    }

    /**
     * Returns the ranking of all workers for a demand's tasks, creating it on first use.
     *
     * @param canWait Whether the tasks wait rather than start where a serving task comes too close to its target.
     */
    resolve(demand: StepDemand, canWait: boolean): WorkerRanking {
        const key = createKey(demand, canWait, hasLittleSlack(demand, this.rules));
        const ranking = this.rankings.get(key) ?? this.createRanking(demand, canWait, () => true);
        this.rankings.set(key, ranking);
        return ranking;
    }

    /** Creates a ranking of the included workers for a demand's tasks, which isn't shared. */
    createRanking(
        demand: StepDemand,
        canWait: boolean,
        isIncluded: (worker: WorkerCapacity) => boolean,
    ): WorkerRanking {
        const { step } = demand;
        const { spec } = step;
        const mayUseReserved = isInterrupted(demand);
        const uneven = hasLittleSlack(demand, this.rules) ? this.rules.speeds?.uneven : undefined;
        return new WorkerRanking(this.ledger, worker => isAllowedOn(step, worker) && isIncluded(worker), worker => {
            if (!hasCapacity(worker, spec, mayUseReserved)) {
                return undefined;
            }
            const view = this.rules.describePlacement(worker, spec);
            const slowWorker = uneven?.get(worker.workerId);
            return canWait && view.latencyRatio > MAX_LATENCY_RATIO
                ? undefined
                : this.computeScore(worker, spec, view) - (hasReservation(worker) ? RESERVED_WORKER_PENALTY : 0)
                    - (slowWorker === undefined ? 0 : computeSpeedPenalty(slowWorker, spec));
        });
    }
}

function hasReservation(worker: WorkerCapacity): boolean {
    return worker.isReserved || (worker.ahead !== undefined && worker.ahead.reservations.length > 0);
}

/** Builds a key from everything about a demand that a worker's score depends on. */
function createKey(demand: StepDemand, canWait: boolean, prefersFast: boolean): string {
    const { spec, occurrence } = demand.step;
    return [
        occurrence.job.queue.service,
        spec.requiredLabel,
        spec.preferredRack,
        spec.image,
        spec.cpuMillis,
        spec.memoryMb,
        spec.accelerators,
        spec.tailLatencyTargetMs,
        spec.isBestEffort,
        canWait,
        isInterrupted(demand),
        prefersFast,
    ].join("|");
}
