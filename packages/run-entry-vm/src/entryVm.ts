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
const FORWARDED_CALL_TIMEOUT_MS = 1000;
/** Pause between two looks whether another has taken over, in milliseconds. */
const HANDOVER_CHECK_PAUSE_MS = 50;

/** What an entry VM's process consists of. */
interface EntryVmComponents {
    readonly self: Candidate;
    readonly peerKey: string;
    readonly membership: Membership;
    readonly config: ConfigKeeper;
    readonly peers: Peers;
    readonly jobService: JobDesk;
    readonly loopWatch: LoopWatch;
    readonly loadReporter: LoadReporter;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}

/** One process of an entry VM: takes what callers ask, follows the coordinator, and coordinates when it has to. */
export class EntryVm {
    private readonly server: PeerServer;

    constructor(private readonly components: EntryVmComponents) {
        const { membership } = components;
        const handlers = new Map<FrameKind, FrameHandler>([
            [
                FrameKind.FollowCoordinator,
                body => Promise.resolve(membership.answerFollowRequest(body as FollowRequest)),
            ],
            [FrameKind.AskPeer, () => Promise.resolve(membership.answerPeerQuery())],
            [
                FrameKind.CallCoordinator,
                body => membership.answerCall(body as CoordinatorCall, FORWARDED_CALL_TIMEOUT_MS),
            ],
        ]);
        this.server = new PeerServer({
            peerKey: components.peerKey,
            maxFrameBytes: MAX_FRAME_BYTES,
            maxConnections: MAX_PEER_CONNECTIONS,
            metrics: components.metrics,
            handlers,
        });
    }

    /** Takes what callers ask about jobs. */
    get jobService(): JobDesk {
        return this.components.jobService;
    }

    /** The configuration in force; undefined before the first. */
    get config(): WorkConfig | undefined {
        return this.components.config.config;
    }

    /** Whether callers' requests can be served. */
    get isReady(): boolean {
        return this.config !== undefined;
    }

    /** Listens for peers and begins to follow. */
    async start(): Promise<void> {
        const { self, membership, config, loopWatch, loadReporter } = this.components;
        await this.server.listen(self.host, self.port);
        loopWatch.start();
        loadReporter.start();
        void config.run();
        void membership.run();
    }

    /** Hands the term over, if this process holds it; returns when another has it or the time is up. */
    async releaseTerm(timeoutMs: number): Promise<void> {
        const { membership, clock, logger } = this.components;
        const untilMs = clock.getNow() + timeoutMs;
        membership.drain();
        while (membership.isCoordinator && clock.getNow() < untilMs) {
            await waitFor(clock, HANDOVER_CHECK_PAUSE_MS);
        }
        logger.info("handed-over", { isComplete: !membership.isCoordinator });
    }

    /** Ends everything. */
    close(): void {
        this.components.loadReporter.close();
        this.components.loopWatch.stop();
        this.components.membership.close();
        this.components.config.close();
        this.components.peers.close();
        this.server.close();
    }
}
