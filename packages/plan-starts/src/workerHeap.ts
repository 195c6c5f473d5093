import type { RankedWorker } from "./rankedWorker.js";

/** Binary heap of workers, ordered by score, the highest first, then by index in the round. */
export class WorkerHeap {
    private readonly entries: RankedWorker[] = [];

    /** Adds a worker. */
    add(entry: RankedWorker): void {
        const { entries } = this;
        let position = entries.push(entry) - 1;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (compareRanks(entries[parent], entry) <= 0) {
                break;
            }
            entries[position] = entries[parent];
            position = parent;
        }
        entries[position] = entry;
    }

    /** Removes the worker with the highest score; undefined when the heap is empty. */
    removeBest(): RankedWorker | undefined {
        const { entries } = this;
        const best = entries.at(0);
        const last = entries.pop();
        if (last === undefined || entries.length === 0) {
            return best;
        }
        let position = 0;
        for (let child = 1; child < entries.length; child = 2 * position + 1) {
            if (child + 1 < entries.length && compareRanks(entries[child + 1], entries[child]) < 0) {
                child++;
            }
            if (compareRanks(last, entries[child]) <= 0) {
                break;
            }
            entries[position] = entries[child];
            position = child;
        }
        entries[position] = last;
        return best;
    }
}

function compareRanks(left: RankedWorker, right: RankedWorker): number {
    return right.score - left.score || left.index - right.index;
}
