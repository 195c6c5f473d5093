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
    /** A peer that has not answered for longer than this is ignored when owners are ranked, in milliseconds. */
    readonly silentAfterMs: number;
    /** Workers that this process currently condemns. */
    readonly listCondemned: () => readonly string[];
    /** Whether this process has a valid lease on a worker, which means that the worker answered it recently. */
    readonly isInContact: (worker: string) => boolean;
    /** Workers that do not answer this process. */
    readonly listSilent: () => readonly string[];
}

const workerNames = z.array(z.string()).max(10_000);
const statusRequest = z.object({ condemned: workerNames });
/** `contested` lists the workers that the requesting peer condemns and whose lease the answering peer has. */
const statusReply = z.object({ condemned: workerNames, contested: workerNames, silent: workerNames });

interface PeerState {
    /** When the newest exchange that the peer answered was sent, in monotonic milliseconds. */
    answeredAtMs: number;
    condemned: readonly string[];
    contested: readonly string[];
    /** Workers that do not answer the peer. */
    silent: readonly string[];
}

/** Membership of the schedulers of this failure domain: which peers answer, and their last reported status. */
export class SchedulerMembers {
    private readonly states = new Map<string, PeerState>();

    constructor(private readonly options: SchedulerMembersOptions) {}

    /** Exchanges status with every listed peer and remembers the answers. */
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

    /**
     * Answers a peer's status exchange.
     *
     * @throws When the body is malformed.
     */
    answerStatus(body: unknown): z.infer<typeof statusReply> {
        const { condemned } = statusRequest.parse(body);
        return {
            condemned: [...this.options.listCondemned()],
            contested: condemned.filter(this.options.isInContact),
            silent: [...this.options.listSilent()],
        };
    }

    /** Whether a peer has a valid lease on a worker that this process condemns. */
    isContested(worker: string): boolean {
        return [...this.states.values()].some(state => state.contested.includes(worker));
    }

    /**
     * For each listed peer, when the newest exchange that it answered was sent, in monotonic milliseconds; minus
     * infinity when it condemned the worker in that answer or has never answered.
     */
    listPeerConfirmations(worker: string): number[] {
        const { directory, domain, vm } = this.options;
        return directory.listSchedulerPeers(domain, vm).map(peer => {
            const state = this.states.get(peer.vm);
            return state === undefined || state.condemned.includes(worker)
                ? Number.NEGATIVE_INFINITY
                : state.answeredAtMs;
        });
    }

    /** Rank of this process among the live schedulers for a key. The scheduler of rank 0 acts. */
    computeRank(key: string): number {
        return listOwnersByRank(key, [...this.listLivePeers(), this.options.vm]).indexOf(this.options.vm);
    }

    /** Rank of this process for holding a worker, among the live schedulers that the worker answers; 0 is first. */
    computeHoldRank(worker: string): number {
        const eligible = this.listLivePeers().filter(peer => !this.states.get(peer)?.silent.includes(worker));
        return listOwnersByRank(worker, [...eligible, this.options.vm]).indexOf(this.options.vm);
    }

    private listLivePeers(): string[] {
        const { directory, domain, vm, now, silentAfterMs } = this.options;
        return directory.listSchedulerPeers(domain, vm)
            .map(peer => peer.vm)
            .filter(peer => now() - (this.states.get(peer)?.answeredAtMs ?? Number.NEGATIVE_INFINITY) <= silentAfterMs);
    }
}
