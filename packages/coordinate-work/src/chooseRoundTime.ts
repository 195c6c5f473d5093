import { limits } from "./limits.js";

/** The round before. */
interface LastRound {
    /** When it ended, in steady milliseconds. */
    readonly endedAtMs: number;
    /** How long it took, in milliseconds. */
    readonly tookMs: number;
}

/**
 * Chooses when the next planning round begins. After a round that took long the loop is left to leases, answers and callers for
 * so long that rounds take no more than `limits.roundShare` of it, but never for longer than an idle coordinator waits.
 *
 * @param wantedAtMs When the round was asked for, in steady milliseconds.
 * @param last The round before.
 * @returns Steady milliseconds.
 */
export function chooseRoundTime(wantedAtMs: number, last: LastRound): number {
    const pauseMs = last.tookMs * (1 - limits.maxRoundShare) / limits.maxRoundShare;
    return Math.max(wantedAtMs, last.endedAtMs + Math.min(pauseMs, limits.idleRoundMs));
}
