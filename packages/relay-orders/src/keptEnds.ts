import type { Clock, EndedRun } from "@sardinestage/describe-ports";
import { formatTaskKey } from "@sardinestage/describe-work";
import type { EndsOfLife } from "./endsOfLife.js";

/** An end serves until the lease of its worker has lapsed, twice that with the delays around it, in milliseconds. */
const MAX_AGE_MS = 10_000;
/** Bound of the ends that are kept: some dozens for each worker that one relay calls. */
const MAX_ENDS = 4000;

/** An end that is kept. */
interface KeptEnd {
    readonly bornMs: number;
    readonly row: EndedRun;
    /** When the end was last told, in steady milliseconds. */
    readonly toldAtMs: number;
    readonly isTaken: boolean;
}

/** The run ends that workers have listed in the last seconds, by worker and life. */
export class KeptEnds {
    /** Ends by worker and key; those told last come last. */
    private readonly workers = new Map<string, Map<string, KeptEnd>>();
    private count = 0;

    constructor(private readonly clock: Clock, private readonly maxEnds = MAX_ENDS) {}

    /** The number of ends that are kept. */
    get size(): number {
        return this.count;
    }

    /** Keeps the ends in a worker's answer; those that are too old go, and the oldest if there are too many. */
    remember(worker: string, bornMs: number, ended: readonly EndedRun[]): void {
        if (ended.length === 0) {
            return;
        }
        const ends = this.workers.get(worker) ?? new Map<string, KeptEnd>();
        const toldAtMs = this.clock.getNow();
        for (const row of ended) {
            const key = `${bornMs}/${row.number}/${formatTaskKey(row.task)}#${row.run}/${row.end}`;
            const isTaken = ends.get(key)?.isTaken ?? false;
            this.drop(ends, key);
            ends.set(key, { bornMs, row, toldAtMs, isTaken });
            this.count++;
        }
        this.workers.delete(worker);
        this.workers.set(worker, ends);
        this.dropOldest();
    }

    /** Drops the ends of a worker's life up to the last one that is recorded. */
    dropRecorded(worker: string, bornMs: number, lastRecordedEnd: number): void {
        const ends = this.workers.get(worker);
        for (const [key, end] of ends ?? []) {
            if (end.bornMs === bornMs && end.row.number <= lastRecordedEnd) {
                this.drop(ends, key);
            }
        }
    }

    /** Lists a worker's ends by life; the life that was told last comes last. */
    listEnds(worker: string): readonly EndsOfLife[] {
        return collectLives(worker, this.listFresh(worker).map(([, end]) => end));
    }

    /** Takes the ends of one life of a worker that weren't taken yet, if there are any; not of the excepted life. */
    takeEnds(worker: string, exceptBornMs?: number): EndsOfLife | undefined {
        const open = this.listFresh(worker).filter(([, end]) => !end.isTaken && end.bornMs !== exceptBornMs);
        const taken = open.filter(([, { bornMs }]) => bornMs === open[0][1].bornMs);
        taken.forEach(([key, end]) => this.workers.get(worker)?.set(key, { ...end, isTaken: true }));
        return collectLives(worker, taken.map(([, end]) => end)).at(0);
    }

    private listFresh(worker: string): readonly (readonly [string, KeptEnd])[] {
        const sinceMs = this.clock.getNow() - MAX_AGE_MS;
        return [...this.workers.get(worker) ?? []].filter(([, { toldAtMs }]) => toldAtMs > sinceMs);
    }

    private drop(ends: Map<string, KeptEnd> | undefined, key: string): void {
        if (ends?.delete(key)) {
            this.count--;
        }
    }

    private dropOldest(): void {
        const sinceMs = this.clock.getNow() - MAX_AGE_MS;
        for (const [worker, ends] of this.workers) {
            for (const [key, { toldAtMs }] of ends) {
                if (toldAtMs > sinceMs && this.count <= this.maxEnds) {
                    break;
                }
                this.drop(ends, key);
            }
            if (ends.size > 0) {
                return;
            }
            this.workers.delete(worker);
        }
    }
}

function collectLives(worker: string, ends: readonly KeptEnd[]): readonly EndsOfLife[] {
    const lives = new Map<number, EndedRun[]>();
    for (const { bornMs, row } of ends) {
        const rows = lives.get(bornMs) ?? [];
        lives.delete(bornMs);
        rows.push(row);
        lives.set(bornMs, rows);
    }
    return [...lives].map(([bornMs, ended]) => ({ worker, bornMs, ended }));
}
