import type { CoordinatorView } from "@sardinestage/keep-term";

/** Tells in a log line's fields what made a process stand. */
export function describeCandidacy(
    seen: CoordinatorView,
    after: number | undefined,
): Record<string, number | boolean | undefined> {
    return {
        after,
        silentMs: Math.round(seen.silentMs),
        storeSilentMs: Math.round(seen.storeSilentMs),
        renewalAgeMs: Math.round(seen.renewalAgeMs),
        isRefused: seen.isRefused,
        isLeaving: seen.isLeaving,
        peers: seen.peers,
        peersAnswered: seen.peersAnswered,
        followers: seen.followers,
        members: seen.members,
    };
}
