import { limits } from "../limits.js";

/** The last round. */
interface LastRound {
    /** When the round ended, in steady milliseconds. */
    readonly endedAtMs: number;
    /** How long the round took, in milliseconds. */
    readonly tookMs: number;
}

/**
 * Chooses when the next planning round begins. After a long round, the event loop is left to leases, answers and
 * callers until rounds take no more than `limits.maxRoundShare` of it, but for at most `limits.idleRoundMs`.
 *
 * @param requestedAtMs The time that the round was requested for, in steady milliseconds.
 * @param last The last round.
 * @returns Steady milliseconds.
 */
export function chooseRoundTime(requestedAtMs: number, last: LastRound): number {
    const pauseMs = last.tookMs * (1 - limits.maxRoundShare) / limits.maxRoundShare;
    return Math.max(requestedAtMs, last.endedAtMs + Math.min(pauseMs, limits.idleRoundMs));
}
