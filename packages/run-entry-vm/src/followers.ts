import type { Candidate } from "@sardinestage/keep-term";

/** A follower without a request for this long is removed from the list, in milliseconds. */
const FOLLOWER_EXPIRY_MS = 8000;
/** A follower is active if its last request is younger than this, in milliseconds. */
const ACTIVE_FOLLOWER_AGE_MS = 1000;

/** A VM that sends follow requests to this process. */
interface Follower {
    readonly candidate: Candidate;
    /** When the current process of the VM sent its first request. */
    readonly followingSinceMs: number;
    /** When it sent its last request. */
    readonly atMs: number;
    /** Whether the VM is about to stop. */
    readonly isDraining: boolean;
}

/** The VMs that follow this process. */
export class Followers {
    private readonly followers = new Map<string, Follower>();
    /** The VMs that might compete for the term, and when they were last heard. */
    private readonly heard = new Map<string, { readonly candidate: Candidate; readonly atMs: number }>();
    /** Changes whenever the list does, so that an unchanged list isn't sent again. */
    version = 0;

    /** Notes a follow request. A VM whose process has restarted counts as a new follower. */
    noteFollower(candidate: Candidate, nowMs: number, isDraining = false): void {
        const known = this.followers.get(candidate.vm);
        const isKnown = known?.candidate.incarnation === candidate.incarnation;
        this.version += isKnown ? 0 : 1;
        this.noteHeard(candidate, nowMs);
        this.followers.set(candidate.vm, {
            candidate,
            atMs: nowMs,
            isDraining,
            followingSinceMs: isKnown ? known.followingSinceMs : nowMs,
        });
    }

    /** Notes that a VM was heard of, whether or not it follows this process. */
    noteHeard(candidate: Candidate, nowMs: number): void {
        this.heard.set(candidate.vm, { candidate, atMs: nowMs });
    }

    /** Lists the VMs that were heard at or after a time, and forgets the others. */
    listHeardSince(atMs: number): readonly Candidate[] {
        for (const [vm, heard] of this.heard) {
            if (heard.atMs < atMs) {
                this.heard.delete(vm);
            }
        }
        return [...this.heard.values()].map(({ candidate }) => candidate);
    }

    /** Removes the followers whose last request is too old. */
    dropSilent(nowMs: number): void {
        for (const [vm, { atMs }] of this.followers) {
            if (nowMs - atMs >= FOLLOWER_EXPIRY_MS) {
                this.followers.delete(vm);
                this.version++;
            }
        }
    }

    /** Lists all followers. */
    list(): readonly Candidate[] {
        return [...this.followers.values()].map(({ candidate }) => candidate);
    }

    /** Lists the followers that aren't about to stop. */
    listStaying(): readonly Candidate[] {
        return [...this.followers.values()].filter(({ isDraining }) => !isDraining).map(({ candidate }) => candidate);
    }

    /** Counts the active followers. */
    countActive(nowMs: number): number {
        return this.listActiveFor(nowMs, 0).length;
    }

    /** Lists the active followers that joined at least `forMs` milliseconds ago. */
    listActiveFor(nowMs: number, forMs: number): readonly Candidate[] {
        return [...this.followers.values()]
            .filter(({ followingSinceMs, atMs }) =>
                nowMs - followingSinceMs >= forMs && nowMs - atMs < ACTIVE_FOLLOWER_AGE_MS
            )
            .map(({ candidate }) => candidate);
    }
}
