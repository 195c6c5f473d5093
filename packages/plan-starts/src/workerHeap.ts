import type { RankedWorker } from "./rankedWorker.js";

/** Rooms by score, the best first; of equal ones the first of the round's rooms. */
export class WorkerHeap {
    private readonly entries: RankedWorker[] = [];

    /** Puts a room in. */
    add(entry: RankedWorker): void {
        const { entries } = this;
        let place = entries.push(entry) - 1;
        while (place > 0) {
            const parent = (place - 1) >> 1;
            if (compareRanks(entries[parent], entry) <= 0) {
                break;
            }
            entries[place] = entries[parent];
            place = parent;
        }
        entries[place] = entry;
    }

    /** Takes the best out. */
    removeBest(): RankedWorker | undefined {
        const { entries } = this;
        const best = entries.at(0);
        const last = entries.pop();
        if (last === undefined || entries.length === 0) {
            return best;
        }
        let place = 0;
        for (let child = 1; child < entries.length; child = 2 * place + 1) {
            if (child + 1 < entries.length && compareRanks(entries[child + 1], entries[child]) < 0) {
                child++;
            }
            if (compareRanks(last, entries[child]) <= 0) {
                break;
            }
            entries[place] = entries[child];
            place = child;
        }
        entries[place] = last;
        return best;
    }
}

function compareRanks(left: RankedWorker, right: RankedWorker): number {
    return right.score - left.score || left.index - right.index;
}
