import type { RankedRoom } from "./rankedRoom.js";
import { RoomHeap } from "./roomHeap.js";
import type { RoomLedger } from "./roomLedger.js";
import type { WorkerRoom } from "./workerRoom.js";

/** The version of rooms that this ranking has nothing to do with. */
const UNUSED = -1;

/**
 * The rooms that tasks which are alike may go to, in the order of their scores. After a start only the room that was
 * taken from is judged again. Answers floods: hundreds of tasks that wait beside hundreds of workers.
 */
export class RoomRanking {
    private readonly heap = new RoomHeap();
    private readonly judgedVersions: Int32Array;
    private position: number;

    /**
     * @param ledger The round's rooms.
     * @param isUsable Whether such tasks may run there at all, room aside.
     * @param computeScore The score of a room; undefined where such a task can't go.
     */
    constructor(
        private readonly ledger: RoomLedger,
        isUsable: (room: WorkerRoom) => boolean,
        private readonly computeScore: (room: WorkerRoom) => number | undefined,
    ) {
        this.judgedVersions = new Int32Array(ledger.rooms.length).fill(UNUSED);
        this.position = ledger.takenCount;
        ledger.rooms.forEach((room, index) => {
            if (isUsable(room)) {
                this.addJudged(index);
            }
        });
    }

    /** Takes the best room out; undefined when no room is left. */
    removeBest(): RankedRoom | undefined {
        this.refresh();
        for (;;) {
            const best = this.heap.removeBest();
            if (best === undefined || best.version === this.ledger.getVersion(best.index)) {
                return best;
            }
        }
    }

    /** Puts a room back that was taken out and not used. */
    restore(entry: RankedRoom): void {
        this.heap.add(entry);
    }

    private refresh(): void {
        for (; this.position < this.ledger.takenCount; this.position++) {
            const index = this.ledger.getTaken(this.position);
            const judged = this.judgedVersions[index];
            if (judged !== UNUSED && judged !== this.ledger.getVersion(index)) {
                this.addJudged(index);
            }
        }
    }

    private addJudged(index: number): void {
        const version = this.ledger.getVersion(index);
        this.judgedVersions[index] = version;
        const score = this.computeScore(this.ledger.rooms[index]);
        if (score !== undefined) {
            this.heap.add({ index, score, version });
        }
    }
}
