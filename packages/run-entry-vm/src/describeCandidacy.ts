import type { CoordinatorView } from "@sardinestage/keep-term";

/** Builds the log fields that explain why a process competes for the term. */
export function describeCandidacy(
    coordinator: CoordinatorView,
    previousTerm: number | undefined,
): Record<string, number | boolean | undefined> {
    return {
        after: previousTerm,
        silentMs: Math.round(coordinator.silentMs),
        storeSilentMs: Math.round(coordinator.storeSilentMs),
        renewalAgeMs: Math.round(coordinator.renewalAgeMs),
        isRefused: coordinator.isConnectionRefused,
        isLeaving: coordinator.isLeaving,
        peers: coordinator.peers,
        peersAnswered: coordinator.peersAnswered,
        followers: coordinator.followers,
        members: coordinator.members,
    };
}
