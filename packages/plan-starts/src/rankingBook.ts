import type { StepRun } from "@sardinestage/track-jobs";
import { computePlaceScore } from "./computePlaceScore.js";
import { hasRoom } from "./hasRoom.js";
import { isAllowedOn } from "./isAllowedOn.js";
import type { RoomLedger } from "./roomLedger.js";
import { RoomRanking } from "./roomRanking.js";
import type { StartRules } from "./startRules.js";
import type { WorkerRoom } from "./workerRoom.js";

/** A filling task rather waits than goes where serving tasks would miss their targets. */
const MOST_STRAIN = 0.88;

/** The rankings of a round; steps whose tasks are alike share one. */
export class RankingBook {
    private readonly rankings = new Map<string, RoomRanking>();

    constructor(private readonly ledger: RoomLedger, private readonly rules: StartRules) {}

    /**
     * The ranking of all rooms for a step's tasks.
     *
     * @param mayWait Whether the tasks rather wait than go where serving tasks would miss their targets.
     */
    resolve(step: StepRun, mayWait: boolean): RoomRanking {
        const key = createKey(step, mayWait);
        const ranking = this.rankings.get(key) ?? this.createRanking(step, mayWait, () => true);
        this.rankings.set(key, ranking);
        return ranking;
    }

    /** A ranking of some rooms for a step's tasks, which nobody shares. */
    createRanking(step: StepRun, mayWait: boolean, isIncluded: (room: WorkerRoom) => boolean): RoomRanking {
        const { spec } = step;
        return new RoomRanking(this.ledger, room => isAllowedOn(step, room) && isIncluded(room), room => {
            if (!hasRoom(room, spec)) {
                return undefined;
            }
            const view = this.rules.describePlace(room, spec);
            return mayWait && view.strain > MOST_STRAIN ? undefined : computePlaceScore(room, spec, view);
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
