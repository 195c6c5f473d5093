import type { CoordinatorCall, JobService } from "@sardinestage/accept-jobs";
import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock } from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import type { OperatorConfig } from "@sardinestage/describe-work";
import type { FrameHandler } from "@sardinestage/exchange-frames";
import { FrameKind, PeerServer } from "@sardinestage/exchange-frames";
import type { Candidate } from "@sardinestage/keep-term";
import type { EventLogger } from "@sardinestage/log-events";
import type { OrderRelay, RelayRequest } from "@sardinestage/relay-orders";
import type { EventLoopMonitor } from "@sardinestage/watch-loop";
import type { ConfigKeeper } from "./configKeeper.js";
import type { FollowRequest } from "./followRequest.js";
import type { LoadReporter } from "./loadReporter.js";
import type { Membership } from "./membership.js";
import type { PeerQuery } from "./peerQuery.js";
import type { Peers } from "./peers.js";

/** The largest frame that is accepted from another VM, in bytes. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;
/** Concurrent connections from other VMs: several for each VM of the largest planned installation. */
const MAX_PEER_CONNECTIONS = 1000;
/** Timeout of a peer's call that is forwarded to the coordinator, in milliseconds. */
const FORWARDED_CALL_TIMEOUT_MS = 1000;
/** Pause between two checks whether another process has taken over, in milliseconds. */
const HANDOVER_CHECK_PAUSE_MS = 50;

/** Components of an entry VM's process. */
interface EntryVmComponents {
    readonly self: Candidate;
    readonly peerKey: string;
    readonly membership: Membership;
    readonly config: ConfigKeeper;
    readonly peers: Peers;
    readonly jobService: JobService;
    readonly orderRelay: OrderRelay;
    readonly loopMonitor: EventLoopMonitor;
    readonly loadReporter: LoadReporter;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}

/** One process of an entry VM: serves callers, follows the coordinator, and coordinates while it holds the term. */
export class EntryVm {
    private readonly server: PeerServer;

    constructor(private readonly components: EntryVmComponents) {
        const { membership, orderRelay } = components;
        const handlers = new Map<FrameKind, FrameHandler>([
            [
                FrameKind.FollowCoordinator,
                body => Promise.resolve(membership.answerFollowRequest(body as FollowRequest)),
            ],
            [FrameKind.AskPeer, body => Promise.resolve(membership.answerPeerQuery(body as PeerQuery))],
            [FrameKind.RelayOrders, body => orderRelay.handleRequest(body as RelayRequest)],
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

    /** Serves the callers' requests about jobs. */
    get jobService(): JobService {
        return this.components.jobService;
    }

    /** The configuration in force; undefined before the first. */
    get config(): OperatorConfig | undefined {
        return this.components.config.config;
    }

    /** Whether callers' requests can be served. */
    get isReady(): boolean {
        return this.config !== undefined;
    }

    /** Listens for peers and starts to follow the coordinator and the configuration. */
    async start(): Promise<void> {
        const { self, membership, config, loopMonitor, loadReporter } = this.components;
        await this.server.listen(self.host, self.port);
        loopMonitor.start();
        loadReporter.start();
        void config.run();
        void membership.run();
    }

    /** Hands the term over if this process holds it. Returns when another one has taken over, or after the timeout. */
    async releaseTerm(timeoutMs: number): Promise<void> {
        const { membership, clock, logger } = this.components;
        const untilMs = clock.getNow() + timeoutMs;
        membership.drain();
        while (membership.isCoordinator && clock.getNow() < untilMs) {
            await waitFor(clock, HANDOVER_CHECK_PAUSE_MS);
        }
        logger.info("handed-over", { isComplete: !membership.isCoordinator });
    }

    /** Stops all components and closes all connections. */
    close(): void {
        this.components.jobService.close();
        this.components.loadReporter.close();
        this.components.loopMonitor.stop();
        this.components.membership.close();
        this.components.config.close();
        this.components.peers.close();
        this.server.close();
    }
}
