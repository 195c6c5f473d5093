import type { CapacityLedger } from "./capacityLedger.js";
import type { RankedWorker } from "./rankedWorker.js";
import type { WorkerCapacity } from "./workerCapacity.js";
import { WorkerHeap } from "./workerHeap.js";

/** Version of workers that aren't part of the ranking. */
const NOT_RANKED = -1;

/**
 * The workers that may run tasks of equal steps, ordered by score. After a start only the changed worker is scored
 * again, which keeps a round short when hundreds of tasks wait for hundreds of workers.
 */
export class WorkerRanking {
    private readonly heap = new WorkerHeap();
    private readonly scoredVersions: Int32Array;
    private position: number;

    /**
     * @param ledger The workers of the planning round.
     * @param isUsable Whether the tasks may run on a worker, whatever its free capacity.
     * @param computeScore Scores a worker; undefined where a task can't start now.
     */
    constructor(
        private readonly ledger: CapacityLedger,
        isUsable: (worker: WorkerCapacity) => boolean,
        private readonly computeScore: (worker: WorkerCapacity) => number | undefined,
    ) {
        this.scoredVersions = new Int32Array(ledger.workers.length).fill(NOT_RANKED);
        this.position = ledger.changeCount;
        ledger.workers.forEach((worker, index) => {
            if (isUsable(worker)) {
                this.addScored(index);
            }
        });
    }

    /** Removes the best worker; undefined when none is left. */
    removeBest(): RankedWorker | undefined {
        this.refresh();
        for (;;) {
            const best = this.heap.removeBest();
            if (best === undefined || best.version === this.ledger.getVersion(best.index)) {
                return best;
            }
        }
    }

    /** Returns a removed worker that got no task. */
    restore(entry: RankedWorker): void {
        this.heap.add(entry);
    }

    private refresh(): void {
        for (; this.position < this.ledger.changeCount; this.position++) {
            const index = this.ledger.getChangedIndex(this.position);
            const scored = this.scoredVersions[index];
            if (scored !== NOT_RANKED && scored !== this.ledger.getVersion(index)) {
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
