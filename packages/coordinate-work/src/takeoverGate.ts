import type { Clock } from "@sardinestage/describe-ports";
import { applyInTurns } from "./applyInTurns.js";

/**
 * Keeps what workers list until the takeover has read where everything stands, and their leases from running out
 * meanwhile: reading may take longer than these last.
 */
export class TakeoverGate {
    private isOpen = false;
    private readonly waiting = new Set<() => void>();

    /**
     * @param clock Steady time.
     * @param longestMs How long a worker may wait before its lease is extended again, in milliseconds.
     */
    constructor(private readonly clock: Clock, private readonly longestMs: number) {}

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

    /** Lets all that waits be dealt with, a few workers at a time. */
    open(): void {
        this.isOpen = true;
        applyInTurns(this.clock, [...this.waiting], wake => wake());
    }
}
