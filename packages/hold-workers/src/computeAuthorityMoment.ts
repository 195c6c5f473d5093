import type { AuthorityView } from "./authorityView.js";

/**
 * Computes the last moment at which no condemnation of a worker can have been under way unnoticed. At that moment the
 * log was read to its end without a condemnation, or every listed peer reported that it does not condemn the worker.
 * The holder keeps tasks running for a bounded time from that moment. A condemnation is carried out only after this
 * time and the tasks' leases have passed.
 *
 * @param view The state of the log and the answers of the peers.
 * @param nowMs Monotonic time in milliseconds.
 * @returns Monotonic milliseconds; minus infinity when neither the log nor the peers confirm any moment.
 */
export function computeAuthorityMoment(view: AuthorityView, nowMs: number): number {
    if (view.isCondemned) {
        return Number.NEGATIVE_INFINITY;
    }
    return Math.max(view.logFreshAtMs, Math.min(nowMs, ...view.peerConfirmedAtMs));
}
