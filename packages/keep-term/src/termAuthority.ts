import { authorityTimes } from "./authorityTimes.js";
import type { Instant } from "./instant.js";

/**
 * A coordinator's authority to start tasks and to renew leases. It runs out by itself: a coordinator that is cut off
 * learns nothing of its successor. It is extended by each answer of the store that shows that no later term has begun.
 * While the store answers nobody, no successor can arise, and promises of the other VMs not to compete extend it.
 */
export class TermAuthority {
    private confirmed: Instant;
    private promised: Instant | undefined;

    /**
     * @param wonAt When the append that won the term was sent, or later the read that showed it.
     */
    constructor(wonAt: Instant) {
        this.confirmed = wonAt;
    }

    /** Whether the coordinator may act now. */
    get isValid(): boolean {
        return this.confirmed.ageMs < authorityTimes.confirmedMs
            || (this.promised !== undefined && this.promised.ageMs < authorityTimes.promisedMs);
    }

    /** Time since the newest confirmation or promise that the authority rests on was asked for, in milliseconds. */
    get ageMs(): number {
        return Math.min(this.confirmed.ageMs, this.promised?.ageMs ?? Infinity);
    }

    /** Time since the store last confirmed that the term is the newest, in milliseconds. */
    get unconfirmedMs(): number {
        return this.confirmed.ageMs;
    }

    /** When the store was last asked for a confirmation that it gave, in steady milliseconds. */
    get confirmedAtMs(): number {
        return this.confirmed.atMs;
    }

    /** Notes that the store, asked at `askedAt`, confirmed that the term is the newest. */
    noteConfirmed(askedAt: Instant): void {
        this.confirmed = askedAt;
    }

    /** Notes that all VMs that might compete, asked at `askedAt`, promised not to. */
    notePromised(askedAt: Instant): void {
        this.promised = askedAt;
    }
}
