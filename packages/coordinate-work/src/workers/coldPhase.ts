import type { WorkerEntry } from "@sardinestage/describe-work";

/** The longest time after an entry for which its worker counts as cold, in milliseconds, however long the entry says. */
const MAX_COLD_MS = 30_000;

/**
 * Follows until when a worker's present life is slow after its start. Within a life, the end may only come nearer: an
 * entry that is repeated unchanged doesn't make the worker cold for longer.
 */
export class ColdPhase {
    private bornMs = 0;
    private untilMs = -Infinity;

    /** Takes the worker's entry, which states the remaining time from now on. */
    noteEntry({ bornMs, coldRemainingMs }: WorkerEntry, nowMs: number): void {
        const untilMs = nowMs + Math.min(coldRemainingMs, MAX_COLD_MS);
        this.untilMs = bornMs === this.bornMs ? Math.min(this.untilMs, untilMs) : untilMs;
        this.bornMs = bornMs;
    }

    /** Whether the worker is still slow. */
    isCold(nowMs: number): boolean {
        return nowMs < this.untilMs;
    }
}
