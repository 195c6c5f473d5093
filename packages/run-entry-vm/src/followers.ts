import type { Candidate } from "@sardinestage/keep-term";

/** A VM that hasn't followed for so long is no longer named to others, in milliseconds. */
const FOLLOWER_EXPIRY_MS = 8000;
/** A VM that has followed within this is following, in milliseconds. */
const ACTIVE_FOLLOWER_AGE_MS = 1000;

/** A VM that follows. */
interface Follower {
    readonly candidate: Candidate;
    readonly followingSinceMs: number;
    readonly atMs: number;
}

/** The VMs that follow a coordinator. */
export class Followers {
    private readonly followers = new Map<string, Follower>();
    /** Changes whenever the list does, so that it need not be sent again. */
    version = 0;

    /** Notes that a VM follows. */
    noteFollower(candidate: Candidate, nowMs: number): void {
        const known = this.followers.get(candidate.vm);
        const isKnown = known?.candidate.incarnation === candidate.incarnation;
        this.version += isKnown ? 0 : 1;
        this.followers.set(candidate.vm, {
            candidate,
            atMs: nowMs,
            followingSinceMs: isKnown ? known.followingSinceMs : nowMs,
        });
    }

    /** Forgets the VMs that haven't followed lately. */
    dropSilent(nowMs: number): void {
        for (const [vm, { atMs }] of this.followers) {
            if (nowMs - atMs >= FOLLOWER_EXPIRY_MS) {
                this.followers.delete(vm);
                this.version++;
            }
        }
    }

    /** Lists the VMs that are known to follow. */
    list(): readonly Candidate[] {
        return [...this.followers.values()].map(({ candidate }) => candidate);
    }

    /** How many VMs follow now. */
    countActive(nowMs: number): number {
        return this.listActiveFor(nowMs, 0).length;
    }

    /** Lists the VMs that have followed without a break for so long. */
    listActiveFor(nowMs: number, forMs: number): readonly Candidate[] {
        return [...this.followers.values()]
            .filter(({ followingSinceMs, atMs }) =>
                nowMs - followingSinceMs >= forMs && nowMs - atMs < ACTIVE_FOLLOWER_AGE_MS
            )
            .map(({ candidate }) => candidate);
    }
}
