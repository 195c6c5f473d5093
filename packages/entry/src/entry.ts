import type { Metrics } from "@sardinestage/count-metrics";
import { describeFailure } from "@sardinestage/errors";
import type { FrameHandler } from "@sardinestage/exchange-frames";
import { FrameKind, PeerServer } from "@sardinestage/exchange-frames";
import type { ConfigFollower } from "@sardinestage/follow-config";
import type { EventLogger } from "@sardinestage/log-events";
import type { RequestIdTable } from "@sardinestage/remember-requests";
import type { TargetTable } from "@sardinestage/route-requests";
import type { RunningProcess } from "@sardinestage/run-process";
import { serveStatus } from "@sardinestage/run-process";
import type { PeerPool, VmDirectory } from "@sardinestage/track-members";
import { runPeriodically } from "@sardinestage/track-members";
import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerServer } from "./callerServer.js";
import type { EntrySettings } from "./entrySettings.js";
import type { GrantPuller } from "./grantPuller.js";
import type { IdReserver } from "./idReserver.js";
import type { RequestRunner } from "./requestRunner.js";

/** Dependencies of an entry process. */
interface EntryParts {
    readonly settings: EntrySettings;
    readonly metrics: Metrics;
    readonly logger: EventLogger;
    readonly directory: VmDirectory;
    readonly peers: PeerPool;
    readonly config: ConfigFollower;
    readonly requestIds: RequestIdTable;
    readonly reserver: IdReserver;
    readonly table: TargetTable;
    readonly puller: GrantPuller;
    readonly runner: RequestRunner;
    readonly callers: CallerServer;
}

/** The entry process: opens its ports, runs its periodic loops, and drains when the process stops. */
export class Entry implements RunningProcess {
    private readonly stopLoops: (() => Promise<void>)[] = [];
    private peerServer: PeerServer | undefined;
    private statusServer: Server | undefined;
    private isDraining = false;

    constructor(private readonly parts: EntryParts) {}

    /**
     * Opens the peer port, the callers' port and the status port in this order, then starts the periodic loops.
     * Rejects when a port is in use.
     */
    async start(): Promise<void> {
        const { settings, metrics, config, directory, peers, puller, runner, callers } = this.parts;
        const { address, metricsPort, domain, vm } = settings.process;
        this.peerServer = this.createPeerServer();
        await this.peerServer.listen(address, settings.entry.peerPort);
        await callers.listen();
        this.statusServer = await serveStatus({
            address,
            port: metricsPort,
            metrics,
            readStatus: () => this.readStatus(),
            isReady: () => !this.isDraining && directory.isLoaded() && config.history.getCurrent().version > 0,
        });
        void config.follow();
        this.runLoop(settings.platform.listIntervalMs, async () => {
            await directory.refresh();
            const entries = directory.listEntryPeers(domain, vm);
            const schedulers = directory.listSchedulerPeers(domain, "");
            peers.closeUnlisted([...entries, ...schedulers]);
            await config.pullFromPeers(peers, [...entries, ...schedulers]);
        });
        this.runLoop(settings.routing.grantIntervalMs, async () => {
            await puller.pullAll();
            runner.admitWaiting();
        });
    }

    /**
     * Reports the process as not ready and gives the load balancer time to notice. Then refuses new requests and
     * finishes those in progress.
     */
    async drain(): Promise<void> {
        const { settings, callers, config, peers, logger } = this.parts;
        this.isDraining = true;
        logger.info("drain-started", { inProgress: callers.getInProgress() });
        await sleep(settings.entry.drainNoticeMs);
        await callers.drain(settings.process.drainMs);
        await Promise.all(this.stopLoops.map(stop => stop()));
        config.stop();
        peers.close();
        this.peerServer?.close();
        this.statusServer?.closeAllConnections();
        this.statusServer?.close();
        logger.info("drain-finished", { inProgress: callers.getInProgress() });
    }

    private runLoop(pauseMs: number, job: () => Promise<void> | void): void {
        const handleFailure = (failure: unknown) => {
            this.parts.metrics.count("loop_failures_total", "entry");
            this.parts.logger.error("loop-failed", { reason: describeFailure(failure) });
        };
        this.stopLoops.push(runPeriodically(pauseMs, job, handleFailure));
    }

    private createPeerServer(): PeerServer {
        const { settings, metrics, config, reserver } = this.parts;
        return new PeerServer({
            peerKey: settings.peers.key,
            maxFrameBytes: settings.peers.maxFrameBytes,
            maxConnections: settings.peers.maxConnections,
            metrics,
            handlers: new Map<FrameKind, FrameHandler>([
                [FrameKind.ReadConfig, body => config.answerPeer(body)],
                [FrameKind.ReadStatus, () => this.readStatus()],
                [FrameKind.ReserveRequest, body => reserver.answerReserve(body)],
                [FrameKind.ReleaseRequest, body => reserver.answerRelease(body)],
            ]),
        });
    }

    private readStatus(): object {
        const { settings, config, callers, table, requestIds, metrics } = this.parts;
        return {
            process: settings.process.name,
            domain: settings.process.domain,
            configVersion: config.history.getCurrent().version,
            isDraining: this.isDraining,
            requestsInProgress: callers.getInProgress(),
            rememberedIds: requestIds.getCount(),
            capacity: Object.fromEntries(table.listServices().map(service => [service, table.getCapacity(service)])),
            requestP50Ms: metrics.readPercentile("request", 50),
            requestP99Ms: metrics.readPercentile("request", 99),
        };
    }
}
