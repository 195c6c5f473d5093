import type { StepRun } from "@sardinestage/track-jobs";
import type { CapacityLedger } from "./capacityLedger.js";
import { computePlacementScore } from "./computePlacementScore.js";
import { hasCapacity } from "./hasCapacity.js";
import { isAllowedOn } from "./isAllowedOn.js";
import type { StartRules } from "./startRules.js";
import { WorkerRanking } from "./workerRanking.js";
import type { WorkerRoom } from "./workerRoom.js";

/** A filling task rather waits than goes where serving tasks would miss their targets. */
const MAX_LATENCY_RATIO = 0.88;

/** The rankings of a round; steps whose tasks are alike share one. */
export class RankingCache {
    private readonly rankings = new Map<string, WorkerRanking>();

    constructor(private readonly ledger: CapacityLedger, private readonly rules: StartRules) {}

    /**
     * The ranking of all rooms for a step's tasks.
     *
     * @param mayWait Whether the tasks rather wait than go where serving tasks would miss their targets.
     */
    resolve(step: StepRun, mayWait: boolean): WorkerRanking {
        const key = createKey(step, mayWait);
        const ranking = this.rankings.get(key) ?? this.createRanking(step, mayWait, () => true);
        this.rankings.set(key, ranking);
        return ranking;
    }

    /** A ranking of some rooms for a step's tasks, which nobody shares. */
    createRanking(step: StepRun, mayWait: boolean, isIncluded: (room: WorkerRoom) => boolean): WorkerRanking {
        const { spec } = step;
        return new WorkerRanking(this.ledger, room => isAllowedOn(step, room) && isIncluded(room), room => {
            if (!hasCapacity(room, spec)) {
                return undefined;
            }
            const view = this.rules.describePlace(room, spec);
            return mayWait && view.strain > MAX_LATENCY_RATIO ? undefined : computePlacementScore(room, spec, view);
        });
    }
}

/** Names all that a room's score depends on. */
function createKey(step: StepRun, mayWait: boolean): string {
    const { spec, occurrence } = step;
    return [
        occurrence.job.queue.service,
        spec.requiredLabel,
        spec.preferredRack,
        spec.image,
        spec.cpuMillis,
        spec.memoryMb,
        spec.accelerators,
        spec.tailTargetMs,
        spec.fillsLeftover,
        mayWait,
    ].join("|");
}
