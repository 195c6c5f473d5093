import type { Candidate } from "@sardinestage/keep-term";
import type { Followers } from "./followers.js";
import type { LocalCoordinator } from "./localCoordinator.js";

/** Time after the begin of a term in which all VMs that live have sent a follow request, in milliseconds. */
const GATHERING_MS = 8000;

/** What the list of relays depends on. */
interface RelayVmParts {
    readonly self: Candidate;
    readonly followers: Pick<Followers, "list" | "listStaying">;
    readonly localCoordinator: Pick<LocalCoordinator, "termHeldMs">;
}

/**
 * Lists the VMs that may relay calls for the coordinator in this process: those that follow it and don't stop. At the
 * begin of a term also the members that followed the coordinator before and haven't sent a request yet.
 *
 * @param parts The coordinator in this process and its followers.
 * @param members The VMs that followed the coordinator before.
 */
export function listRelayVms(parts: RelayVmParts, members: readonly Candidate[]): readonly Candidate[] {
    const { self, followers, localCoordinator } = parts;
    const staying = followers.listStaying();
    if (localCoordinator.termHeldMs >= GATHERING_MS) {
        return staying;
    }
    const known = new Set([self, ...followers.list()].map(candidate => candidate.vm));
    return [...staying, ...members.filter(member => !known.has(member.vm))];
}
