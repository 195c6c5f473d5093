import type { Clock } from "@sardinestage/describe-ports";
import { applyInBatches } from "../applyInBatches.js";

/** Interval between two checks whether all leases are renewed, in milliseconds; short compared to a takeover. */
const CHECK_INTERVAL_MS = 20;

/**
 * Delays the workers' reports during a takeover until all jobs are loaded and each worker's lease is renewed. This may
 * take longer than a lease, so waiting renewal loops are released from time to time to renew their leases again.
 */
export class TakeoverGate {
    private isOpen = false;
    private readonly waiting = new Set<() => void>();

    /**
     * @param clock Steady time.
     * @param maxWaitMs How long a renewal loop may wait before it renews its lease again, in milliseconds.
     */
    constructor(private readonly clock: Clock, private readonly maxWaitMs: number) {}

    /**
     * Waits until reports can be applied. Returns false on a timeout, after which the lease has to be renewed first.
     */
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
            const cancel = this.clock.schedule(this.maxWaitMs, wake);
            this.waiting.add(wake);
        });
    }

    /**
     * Opens once all leases are renewed, or after the longest wait. Applying the reports of workers whose lease is
     * renewed would delay the renewals of the others.
     *
     * @param sinceMs Since when the longest wait counts, in steady milliseconds.
     */
    openWhenSettled(isSettled: () => boolean, sinceMs: number): void {
        const isLate = this.clock.getNow() - sinceMs >= this.maxWaitMs;
        if (isLate || isSettled()) {
            this.isOpen = true;
            // The renewal loops are released in batches, so that renewals can be sent in between.
            applyInBatches(this.clock, [...this.waiting], wake => wake());
        }
        else {
            this.clock.schedule(CHECK_INTERVAL_MS, () => this.openWhenSettled(isSettled, sinceMs));
        }
    }
}
