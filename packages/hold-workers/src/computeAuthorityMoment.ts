import type { AuthorityView } from "./authorityView.js";

/**
 * The last moment at which no condemnation of a worker can have been under way unseen: the log was read to its end
 * without one, or else every listed peer said that it has none. Work is kept going for a bounded time from then, and a
 * condemnation is carried out only after that time and the tasks' leases have passed.
 *
 * @param view What is known now.
 * @param nowMs Monotonic time in milliseconds.
 * @returns Monotonic milliseconds; minus infinity when nothing vouches for it.
 */
export function computeAuthorityMoment(view: AuthorityView, nowMs: number): number {
    if (view.isCondemned) {
        return Number.NEGATIVE_INFINITY;
    }
    return Math.max(view.logFreshAtMs, Math.min(nowMs, ...view.peerPromisedAtMs));
}
