import type { Metrics } from "@sardinestage/count-metrics";
import { describeFailure } from "@sardinestage/errors";
import type { FrameHandler } from "@sardinestage/exchange-frames";
import { FrameKind, PeerServer } from "@sardinestage/exchange-frames";
import { TaskRecordKind } from "@sardinestage/fold-tasks";
import type { ConfigFollower } from "@sardinestage/follow-config";
import type { TaskStream } from "@sardinestage/follow-tasks";
import type { EventLogger } from "@sardinestage/log-events";
import type { RunningProcess } from "@sardinestage/run-process";
import { serveStatus } from "@sardinestage/run-process";
import type { PeerPool, VmDirectory } from "@sardinestage/track-members";
import { runPeriodically } from "@sardinestage/track-members";
import type { Server } from "node:http";
import type { CondemnationController } from "./condemnationController.js";
import type { GrantService } from "./grantService.js";
import type { SchedulerMembers } from "./schedulerMembers.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { TaskMaintenance } from "./taskMaintenance.js";
import type { TaskPlacer } from "./taskPlacer.js";
import type { WorkerFleet } from "./workerFleet.js";

const MAINTENANCE_INTERVAL_MS = 500;

/** Dependencies of `Scheduler`. */
interface SchedulerParts {
    readonly settings: SchedulerSettings;
    readonly metrics: Metrics;
    readonly logger: EventLogger;
    readonly directory: VmDirectory;
    readonly peers: PeerPool;
    readonly config: ConfigFollower;
    readonly stream: TaskStream;
    readonly members: SchedulerMembers;
    readonly fleet: WorkerFleet;
    readonly placer: TaskPlacer;
    readonly condemnationController: CondemnationController;
    readonly maintenance: TaskMaintenance;
    readonly grantService: GrantService;
}

/** The scheduler process: opens its ports and runs the periodic loops that place, control and maintain tasks. */
export class Scheduler implements RunningProcess {
    private readonly stopLoops: (() => Promise<void>)[] = [];
    private peerServer: PeerServer | undefined;
    private statusServer: Server | undefined;

    constructor(private readonly parts: SchedulerParts) {}

    /**
     * Opens the ports and starts the loops.
     *
     * @throws When a port is in use.
     */
    async start(): Promise<void> {
        const { settings, metrics, config, stream, directory, peers } = this.parts;
        const { address, metricsPort, domain, vm } = settings.process;
        this.peerServer = this.createPeerServer();
        await this.peerServer.listen(address, settings.scheduler.peerPort);
        const readStatus = () => this.readStatus();
        const isReady = () => stream.isLoaded();
        this.statusServer = await serveStatus({ address, port: metricsPort, metrics, readStatus, isReady });
        stream.onRecordApplied = record => {
            if (record.kind === TaskRecordKind.Bind || record.kind === TaskRecordKind.Cancel) {
                this.wakeWorkerOfTask(record.taskId);
            }
            else if (record.kind === TaskRecordKind.Hold) {
                this.parts.fleet.wakeWorker(record.worker);
            }
        };
        void config.follow();
        void stream.follow();
        this.runLoop(settings.platform.listIntervalMs, async () => {
            await directory.refresh();
            this.parts.fleet.updateWorkers(directory.listWorkers(domain));
            const schedulers = directory.listSchedulerPeers(domain, vm);
            peers.closeUnlisted(schedulers);
            await config.pullFromPeers(peers, schedulers);
        });
        this.runLoop(settings.peers.statusIntervalMs, () => this.parts.members.shareStatus());
        this.runLoop(settings.placement.intervalMs, () => this.parts.placer.bindWaiting());
        this.runLoop(MAINTENANCE_INTERVAL_MS, () => {
            this.parts.condemnationController.checkWorkers();
            this.parts.maintenance.run();
        });
    }

    /** Stops the loops, releases every worker's lease and closes the ports. Tasks keep running on the workers. */
    async drain(): Promise<void> {
        const { fleet, stream, config, peers, logger } = this.parts;
        logger.info("drain-started");
        await Promise.all(this.stopLoops.map(stop => stop()));
        await fleet.drain();
        stream.stop();
        config.stop();
        peers.close();
        this.peerServer?.close();
        this.statusServer?.closeAllConnections();
        this.statusServer?.close();
        logger.info("drain-finished");
    }

    private runLoop(pauseMs: number, runOnce: () => Promise<void> | void): void {
        const handleFailure = (failure: unknown) => {
            this.parts.metrics.count("loop_failures_total", "scheduler");
            this.parts.logger.error("loop-failed", { reason: describeFailure(failure) });
        };
        this.stopLoops.push(runPeriodically(pauseMs, runOnce, handleFailure));
    }

    private wakeWorkerOfTask(taskId: string): void {
        const worker = this.parts.stream.ledger.getTask(taskId)?.worker;
        if (worker !== undefined) {
            this.parts.fleet.wakeWorker(worker);
        }
    }

    private createPeerServer(): PeerServer {
        const { settings, metrics, config, members, grantService } = this.parts;
        return new PeerServer({
            peerKey: settings.peers.key,
            maxFrameBytes: settings.peers.maxFrameBytes,
            maxConnections: settings.peers.maxConnections,
            metrics,
            handlers: new Map<FrameKind, FrameHandler>([
                [FrameKind.ReadConfig, body => config.answerPeer(body)],
                [FrameKind.ShareStatus, body => members.answerStatus(body)],
                [FrameKind.ReadStatus, () => this.readStatus()],
                [FrameKind.PullGrants, body => grantService.answerPull(body)],
            ]),
        });
    }

    private readStatus(): object {
        const { settings, stream, fleet, config, condemnationController } = this.parts;
        return {
            process: settings.process.name,
            domain: settings.process.domain,
            configVersion: config.history.getCurrent().version,
            logFresh: stream.isFresh(),
            pendingRecords: stream.getPendingCount(),
            waitingTasks: stream.ledger.listWaiting().size,
            leasedWorkers: fleet.listLeased(),
            heldWorkers: fleet.listHeld().map(control => control.vm.vm),
            condemnedWorkers: condemnationController.listCondemned(),
        };
    }
}
