import type { Clock } from "@sardinestage/describe-ports";
import { applyInTurns } from "./applyInTurns.js";

/** Time between two looks whether all leases are extended, in milliseconds: short against a takeover. */
const LOOK_MS = 20;

/**
 * Keeps what workers list until the takeover has read where everything stands and each worker has its lease, and the
 * leases from running out meanwhile: all that may take longer than these last.
 */
export class TakeoverGate {
    private isOpen = false;
    private readonly createdAtMs: number;
    private readonly waiting = new Set<() => void>();

    /**
     * @param clock Steady time.
     * @param longestMs How long a worker may wait before its lease is extended again, in milliseconds.
     */
    constructor(private readonly clock: Clock, private readonly longestMs: number) {
        this.createdAtMs = clock.getNow();
    }

    /** Waits until lists can be dealt with; false when that took so long that the lease is to be extended first. */
    waitUntilOpen(): boolean | Promise<boolean> {
        if (this.isOpen) {
            return true;
        }
        return new Promise(resolve => {
            const wake = () => {
                this.waiting.delete(wake);
                cancel();
                resolve(this.isOpen);
            };
            const cancel = this.clock.schedule(this.longestMs, wake);
            this.waiting.add(wake);
        });
    }

    /** Opens once all leases are extended: what is done for those that have theirs would delay those of the others. */
    openSoon(isSettled: () => boolean): void {
        const isLate = this.clock.getNow() - this.createdAtMs >= this.longestMs;
        if (isLate || isSettled()) {
            this.isOpen = true;
            // A few workers at a time.
            applyInTurns(this.clock, [...this.waiting], wake => wake());
        }
        else {
            this.clock.schedule(LOOK_MS, () => this.openSoon(isSettled));
        }
    }
}
