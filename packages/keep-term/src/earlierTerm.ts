import type { Clock } from "@sardinestage/describe-ports";
import { authorityTimes } from "./authorityTimes.js";

/**
 * Until when the coordinators of earlier terms may act, as far as their successor knows. Without news, the authority of
 * each of them runs out by itself after the new term has begun.
 */
export class EarlierTerm {
    private untilMs: number;
    /** Until when the predecessors of the last coordinator may act, whatever becomes of the last one. */
    private readonly predecessorsUntilMs: number;

    /**
     * @param clock Steady time.
     * @param knownSinceMs Since when this process has known the last coordinator's term, in steady milliseconds.
     */
    constructor(private readonly clock: Clock, knownSinceMs: number) {
        const lengthMs = authorityTimes.confirmedMs + authorityTimes.marginMs;
        this.untilMs = clock.getNow() + lengthMs;
        this.predecessorsUntilMs = knownSinceMs + lengthMs;
    }

    /** When the authority of the earlier coordinators has certainly run out, in steady milliseconds. */
    get actsUntilMs(): number {
        return this.untilMs;
    }

    /** Notes that the last coordinator certainly acts no more: its process has ended, or it has confirmed it. */
    noteStopped(): void {
        this.untilMs = Math.min(this.untilMs, Math.max(this.clock.getNow(), this.predecessorsUntilMs));
    }
}
