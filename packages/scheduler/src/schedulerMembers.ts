import { listOwnersByRank } from "@sardinestage/choose-owner";
import { FrameKind } from "@sardinestage/exchange-frames";
import type { PeerPool, VmDirectory } from "@sardinestage/track-members";
import { z } from "zod";

interface SchedulerMembersOptions {
    readonly domain: string;
    readonly vm: string;
    readonly directory: VmDirectory;
    readonly peers: PeerPool;
    readonly now: () => number;
    /** A peer that has not answered for so long is passed over when an owner is ranked, in milliseconds. */
    readonly silentAfterMs: number;
    /** The workers that this process condemns now. */
    readonly listCondemned: () => readonly string[];
    /** Whether this process holds a worker and hears from it. */
    readonly isInContact: (worker: string) => boolean;
    /** Workers that don't answer this process. */
    readonly listSilent: () => readonly string[];
}

const workerNames = z.array(z.string()).max(10_000);
const statusRequest = z.object({ condemned: workerNames });
/** `contested` are those of the asking peer's condemned workers that the answering peer hears from. */
const statusReply = z.object({ condemned: workerNames, contested: workerNames, silent: workerNames });

interface PeerState {
    /** When the newest exchange was sent that was answered. */
    answeredAtMs: number;
    condemned: readonly string[];
    contested: readonly string[];
    /** Workers that don't answer the peer. */
    silent: readonly string[];
}

/** The schedulers of this failure domain: who they are, who answers, and what they have said. */
export class SchedulerMembers {
    private readonly states = new Map<string, PeerState>();

    constructor(private readonly options: SchedulerMembersOptions) {}

    /** Exchanges status with every listed peer. */
    async shareStatus(): Promise<void> {
        const { directory, domain, vm, peers, now } = this.options;
        await Promise.all(
            directory.listSchedulerPeers(domain, vm).map(async peer => {
                const sentAtMs = now();
                const reply = await peers.request(peer, FrameKind.ShareStatus, {
                    condemned: this.options.listCondemned(),
                });
                const parsed = statusReply.safeParse(reply.ok ? reply.val : undefined);
                if (parsed.success) {
                    this.states.set(peer.vm, { answeredAtMs: sentAtMs, ...parsed.data });
                }
            }),
        );
    }

    /** Answers a peer's status exchange. */
    answerStatus(body: unknown): z.infer<typeof statusReply> {
        const { condemned } = statusRequest.parse(body);
        return {
            condemned: [...this.options.listCondemned()],
            contested: condemned.filter(this.options.isInContact),
            silent: [...this.options.listSilent()],
        };
    }

    /** Whether a peer hears from a worker that this process condemns. */
    isContested(worker: string): boolean {
        return [...this.states.values()].some(state => state.contested.includes(worker));
    }

    /** For each listed peer, when the newest exchange was sent in which it did not condemn a worker. */
    listPromises(worker: string): number[] {
        const { directory, domain, vm } = this.options;
        return directory.listSchedulerPeers(domain, vm).map(peer => {
            const state = this.states.get(peer.vm);
            return state === undefined || state.condemned.includes(worker)
                ? Number.NEGATIVE_INFINITY
                : state.answeredAtMs;
        });
    }

    /** Where this process stands among the live schedulers for a key: 0 is the one that should act. */
    computeRank(key: string): number {
        return listOwnersByRank(key, [...this.listLive(), this.options.vm]).indexOf(this.options.vm);
    }

    /** Where this process stands for holding a worker among the live schedulers whom the worker answers. */
    computeHoldRank(worker: string): number {
        const able = this.listLive().filter(peer => !this.states.get(peer)?.silent.includes(worker));
        return listOwnersByRank(worker, [...able, this.options.vm]).indexOf(this.options.vm);
    }

    private listLive(): string[] {
        const { directory, domain, vm, now, silentAfterMs } = this.options;
        return directory.listSchedulerPeers(domain, vm)
            .map(peer => peer.vm)
            .filter(peer => now() - (this.states.get(peer)?.answeredAtMs ?? Number.NEGATIVE_INFINITY) <= silentAfterMs);
    }
}
