import type { CapacityLedger } from "./capacityLedger.js";
import type { RankedWorker } from "./rankedWorker.js";
import { WorkerHeap } from "./workerHeap.js";
import type { WorkerRoom } from "./workerRoom.js";

/** The version of rooms that this ranking has nothing to do with. */
const NOT_RANKED = -1;

/**
 * The rooms that tasks which are alike may go to, in the order of their scores. After a start only the room that was
 * taken from is judged again. Answers floods: hundreds of tasks that wait beside hundreds of workers.
 */
export class WorkerRanking {
    private readonly heap = new WorkerHeap();
    private readonly scoredVersions: Int32Array;
    private position: number;

    /**
     * @param ledger The round's rooms.
     * @param isUsable Whether such tasks may run there at all, room aside.
     * @param computeScore The score of a room; undefined where such a task can't go.
     */
    constructor(
        private readonly ledger: CapacityLedger,
        isUsable: (room: WorkerRoom) => boolean,
        private readonly computeScore: (room: WorkerRoom) => number | undefined,
    ) {
        this.scoredVersions = new Int32Array(ledger.workers.length).fill(NOT_RANKED);
        this.position = ledger.changeCount;
        ledger.workers.forEach((room, index) => {
            if (isUsable(room)) {
                this.addScored(index);
            }
        });
    }

    /** Takes the best room out; undefined when no room is left. */
    removeBest(): RankedWorker | undefined {
        this.refresh();
        for (;;) {
            const best = this.heap.removeBest();
            if (best === undefined || best.version === this.ledger.getVersion(best.index)) {
                return best;
            }
        }
    }

    /** Puts a room back that was taken out and not used. */
    restore(entry: RankedWorker): void {
        this.heap.add(entry);
    }

    private refresh(): void {
        for (; this.position < this.ledger.changeCount; this.position++) {
            const index = this.ledger.getChangedIndex(this.position);
            const judged = this.scoredVersions[index];
            if (judged !== NOT_RANKED && judged !== this.ledger.getVersion(index)) {
                this.addScored(index);
            }
        }
    }

    private addScored(index: number): void {
        const version = this.ledger.getVersion(index);
        this.scoredVersions[index] = version;
        const score = this.computeScore(this.ledger.workers[index]);
        if (score !== undefined) {
            this.heap.add({ index, score, version });
        }
    }
}
