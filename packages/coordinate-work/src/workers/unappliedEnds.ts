import type { EndedRun } from "@sardinestage/describe-ports";
import { formatTaskKey } from "@sardinestage/describe-work";

/** Bound of the ends that are kept, and of those that are remembered as taken: two full lists of a worker. */
const MAX_ENDS = 1000;

/** An end, and the life of the worker that told it. */
interface KeptEnd {
    readonly bornMs: number;
    readonly row: EndedRun;
}

/**
 * The run ends in a worker's answers that couldn't be applied as reports. Such an answer proves nothing of the runs that
 * it leaves out, but the ends that it lists are facts, and a worker that leaves may not list them again.
 */
export class UnappliedEnds {
    private readonly kept = new Map<string, KeptEnd>();
    /** Keys of the ends that were taken, so that the next report doesn't have them applied once more. */
    private readonly taken = new Set<string>();

    /** The number of ends that are kept. */
    get size(): number {
        return this.kept.size;
    }

    /** Keeps the ends in an answer. Returns how many of them weren't known; the oldest go if there are too many. */
    remember(bornMs: number, ended: readonly EndedRun[]): number {
        let added = 0;
        for (const row of ended) {
            const key = formatKey(bornMs, row);
            if (!this.kept.has(key) && !this.taken.has(key)) {
                added++;
                this.kept.set(key, { bornMs, row });
            }
        }
        dropOldest(this.kept);
        return added;
    }

    /** Takes the ends that can be applied out of those kept, in the order in which they were told. */
    take(canApply: (row: EndedRun) => boolean): readonly KeptEnd[] {
        const found: KeptEnd[] = [];
        for (const [key, end] of this.kept) {
            if (canApply(end.row)) {
                found.push(end);
                this.kept.delete(key);
                this.taken.add(key);
            }
        }
        dropOldest(this.taken);
        return found;
    }

    /** Whether an end in a report was taken from here before. */
    hasTaken(bornMs: number, row: EndedRun): boolean {
        return this.taken.size > 0 && this.taken.has(formatKey(bornMs, row));
    }
}

/** Names an end: a worker that doesn't name its life may tell the same number twice, of different runs. */
function formatKey(bornMs: number, { number, task, run, end }: EndedRun): string {
    return `${bornMs}/${number}/${formatTaskKey(task)}#${run}/${end}`;
}

function dropOldest(entries: Map<string, unknown> | Set<string>): void {
    for (const key of entries.keys()) {
        if (entries.size <= MAX_ENDS) {
            return;
        }
        entries.delete(key);
    }
}
