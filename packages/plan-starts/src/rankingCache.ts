import type { StepRun } from "@sardinestage/track-jobs";
import type { CapacityLedger } from "./capacityLedger.js";
import { computePlacementScore } from "./computePlacementScore.js";
import { hasCapacity } from "./hasCapacity.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { MAX_LATENCY_RATIO } from "./maxLatencyRatio.js";
import type { StartRules } from "./startRules.js";
import type { WorkerCapacity } from "./workerCapacity.js";
import { WorkerRanking } from "./workerRanking.js";

/** The worker rankings of a planning round. Steps whose tasks score equally share one ranking. */
export class RankingCache {
    private readonly rankings = new Map<string, WorkerRanking>();

    constructor(private readonly ledger: CapacityLedger, private readonly rules: StartRules) {}

    /**
     * Returns the ranking of all workers for a step's tasks, creating it on first use.
     *
     * @param canWait Whether the tasks wait rather than start where a serving task comes too close to its target.
     */
    resolve(step: StepRun, canWait: boolean): WorkerRanking {
        const key = createKey(step, canWait);
        const ranking = this.rankings.get(key) ?? this.createRanking(step, canWait, () => true);
        this.rankings.set(key, ranking);
        return ranking;
    }

    /** Creates a ranking of the included workers for a step's tasks, which isn't shared. */
    createRanking(step: StepRun, canWait: boolean, isIncluded: (worker: WorkerCapacity) => boolean): WorkerRanking {
        const { spec } = step;
        return new WorkerRanking(this.ledger, worker => isAllowedOn(step, worker) && isIncluded(worker), worker => {
            if (!hasCapacity(worker, spec)) {
                return undefined;
            }
            const view = this.rules.describePlacement(worker, spec);
            return canWait && view.latencyRatio > MAX_LATENCY_RATIO
                ? undefined
                : computePlacementScore(worker, spec, view);
        });
    }
}

/** Builds a key from everything about a step that a worker's score depends on. */
function createKey(step: StepRun, canWait: boolean): string {
    const { spec, occurrence } = step;
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
    ].join("|");
}
