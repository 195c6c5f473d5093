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
     * Before when the earlier coordinators asked for every confirmation that their leases are bound by, in steady
     * milliseconds; Infinity if their leases may not be bound by any.
     */
    readonly confirmedBeforeMs: number;

    /**
     * @param clock Steady time.
     * @param knownSinceMs Since when this process has known the last coordinator's term, in steady milliseconds.
     * @param areLeasesBound Whether the earlier coordinators bind their leases by the age of their authority.
     */
    constructor(private readonly clock: Clock, knownSinceMs: number, areLeasesBound = false) {
        const lengthMs = authorityTimes.confirmedMs + authorityTimes.marginMs;
        this.untilMs = clock.getNow() + lengthMs;
        this.predecessorsUntilMs = knownSinceMs + lengthMs;
        // The store confirms no earlier term once this one has begun.
        this.confirmedBeforeMs = areLeasesBound ? clock.getNow() : Infinity;
    }

    /** When the authority of the earlier coordinators has certainly run out, in steady milliseconds. */
    get actsUntilMs(): number {
        return this.untilMs;
    }

    /** Notes that the last coordinator certainly acts no more: it, or the next process at its address, has confirmed it. */
    noteStopped(): void {
        this.untilMs = Math.min(this.untilMs, Math.max(this.clock.getNow(), this.predecessorsUntilMs));
    }
}
