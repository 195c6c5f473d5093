import type { CoordinatorCall, JobDesk } from "@sardinestage/accept-jobs";
import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock } from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import type { WorkConfig } from "@sardinestage/describe-work";
import type { FrameHandler } from "@sardinestage/exchange-frames";
import { FrameKind, PeerServer } from "@sardinestage/exchange-frames";
import type { Candidate } from "@sardinestage/keep-term";
import type { EventLogger } from "@sardinestage/log-events";
import type { LoopWatch } from "@sardinestage/watch-loop";
import type { ConfigKeeper } from "./configKeeper.js";
import type { FollowRequest } from "./followRequest.js";
import type { LoadReporter } from "./loadReporter.js";
import type { Membership } from "./membership.js";
import type { Peers } from "./peers.js";

/** The largest frame that is taken from another VM, in bytes. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;
/** Connections from other VMs at once: several a VM, for the largest installation planned. */
const MAX_PEER_CONNECTIONS = 1000;
/** How long a call of a peer may take when it is passed on, in milliseconds. */
const PASSED_ON_TIMEOUT_MS = 1000;
/** Pause between two looks whether another has taken over, in milliseconds. */
const HANDOVER_PAUSE_MS = 50;

/** What an entry VM's process consists of. */
interface EntryVmPieces {
    readonly self: Candidate;
    readonly peerKey: string;
    readonly membership: Membership;
    readonly config: ConfigKeeper;
    readonly peers: Peers;
    readonly desk: JobDesk;
    readonly watch: LoopWatch;
    readonly load: LoadReporter;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}

/** One process of an entry VM: takes what callers ask, follows the coordinator, and coordinates when it has to. */
export class EntryVm {
    private readonly server: PeerServer;

    constructor(private readonly pieces: EntryVmPieces) {
        const { membership } = pieces;
        const handlers = new Map<FrameKind, FrameHandler>([
            [FrameKind.FollowCoordinator, body => Promise.resolve(membership.answerFollow(body as FollowRequest))],
            [FrameKind.AskPeer, () => Promise.resolve(membership.answerPeer())],
            [
                FrameKind.CallCoordinator,
                body => membership.answerCall(body as CoordinatorCall, PASSED_ON_TIMEOUT_MS),
            ],
        ]);
        this.server = new PeerServer({
            peerKey: pieces.peerKey,
            maxFrameBytes: MAX_FRAME_BYTES,
            maxConnections: MAX_PEER_CONNECTIONS,
            metrics: pieces.metrics,
            handlers,
        });
    }

    /** Takes what callers ask about jobs. */
    get desk(): JobDesk {
        return this.pieces.desk;
    }

    /** The configuration in force; undefined before the first. */
    get config(): WorkConfig | undefined {
        return this.pieces.config.config;
    }

    /** Whether callers' requests can be served. */
    get isReady(): boolean {
        return this.config !== undefined;
    }

    /** Listens for peers and begins to follow. */
    async start(): Promise<void> {
        const { self, membership, config, watch, load } = this.pieces;
        await this.server.listen(self.host, self.port);
        watch.start();
        load.start();
        void config.run();
        void membership.run();
    }

    /** Hands the term over, if this process holds it; returns when another has it or the time is up. */
    async releaseTerm(timeoutMs: number): Promise<void> {
        const { membership, clock, logger } = this.pieces;
        const untilMs = clock.getNow() + timeoutMs;
        membership.drain();
        while (membership.isCoordinator && clock.getNow() < untilMs) {
            await waitFor(clock, HANDOVER_PAUSE_MS);
        }
        logger.info("handed-over", { isComplete: !membership.isCoordinator });
    }

    /** Ends everything. */
    close(): void {
        this.pieces.load.close();
        this.pieces.watch.stop();
        this.pieces.membership.close();
        this.pieces.config.close();
        this.pieces.peers.close();
        this.server.close();
    }
}
