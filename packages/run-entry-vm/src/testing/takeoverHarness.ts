import type { CoordinatorCall, CoordinatorReply, JobService } from "@sardinestage/accept-jobs";
import { JobStateCache } from "@sardinestage/accept-jobs";
import { Coordinator, noSchedulingFeatures } from "@sardinestage/coordinate-work";
import { Metrics } from "@sardinestage/count-metrics";
import type { KeyedRecord, StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, Topic, waitFor } from "@sardinestage/describe-ports";
import type { JobSpec, QueueConfig, TaskRef } from "@sardinestage/describe-work";
import {
    emulatedCodec,
    EmulatedFleet,
    emulatedStoreLimits,
    EmulatedWorker,
    listPrerequisiteTasks,
    MemoryStore,
    RunInvariantChecker,
    VirtualClock,
} from "@sardinestage/emulate-platform";
import { FrameKind } from "@sardinestage/exchange-frames";
import type { Candidate } from "@sardinestage/keep-term";
import { TermLog } from "@sardinestage/keep-term";
import type { EventLogger } from "@sardinestage/log-events";
import type { RelayReply, RelayRequest } from "@sardinestage/relay-orders";
import { OrderRelay, RelayedWorkerPort } from "@sardinestage/relay-orders";
import { encodeJobRecord } from "@sardinestage/track-jobs";
import { EventLoopMonitor, WorkMeter } from "@sardinestage/watch-loop";
import { ConfigKeeper } from "../configKeeper.js";
import { defaultRules } from "../defaultRules.js";
import { Followers } from "../followers.js";
import type { FollowReply } from "../followReply.js";
import type { FollowRequest } from "../followRequest.js";
import { JobFactFollower } from "../jobFactFollower.js";
import { LocalCoordinator } from "../localCoordinator.js";
import { Membership } from "../membership.js";
import type { PeerQuery } from "../peerQuery.js";
import type { Peers } from "../peers.js";
import { createJobService } from "./createJobService.js";
import { createVmStore } from "./createVmStore.js";
import { ZonedNetwork } from "./zonedNetwork.js";

const APPEND_TIMEOUT_MS = 1000;
const CALL_TIMEOUT_MS = 1000;
/** Network delay between two VMs in one direction, in milliseconds. */
const ONE_WAY_DELAY_MS = 1;
const coordinatorRules = {
    leaseMs: 4500,
    maxLeaseMs: 6000,
    keepFinishedMs: 120_000,
    storeLimits: emulatedStoreLimits,
    harmMs: 4000,
    paceMs: 100,
    entryReturnMs: 2000,
    features: noSchedulingFeatures,
};
/** Without the random delay, so that the same seed always gives the same run. */
const rules = { ...defaultRules, jitterMs: 0 };

/** A VM's running process. */
interface VmProcess {
    readonly config: ConfigKeeper;
    readonly membership: Membership;
    readonly localCoordinator: LocalCoordinator;
    readonly orderRelay: OrderRelay;
    readonly jobStateCache: JobStateCache;
    readonly jobService: JobService;
}

/** Complete VMs (election, terms, coordinators) with one emulated store and emulated workers, on a virtual clock. */
export class TakeoverHarness {
    readonly clock = new VirtualClock();
    readonly store: MemoryStore;
    readonly fleet: EmulatedFleet;
    readonly runChecker: RunInvariantChecker;
    /** The log lines of all VMs. */
    readonly events: string[] = [];
    /** The requests between VMs. */
    readonly requests: { readonly from: string; readonly to: string; readonly kind: FrameKind }[] = [];
    /** The replies to follow requests. */
    readonly followReplies: FollowReply[] = [];
    readonly specs = new Map<string, JobSpec>();
    /** Share of the VMs' appends that get no answer, and how late the store carries these out, in milliseconds. */
    readonly lost = { share: 0, lateMs: 0 };
    /** Share of the requests to relays that arrive late, and how late these are at the most, in milliseconds. */
    readonly relayFaults = { lateShare: 0, maxLateMs: 0 };
    /** The links between VMs, workers and the store, which a test may cut. */
    readonly network: ZonedNetwork;
    /** The VMs that the store doesn't answer when they read the operator's records. */
    readonly withoutOperatorRecords = new Set<string>();
    private readonly processes = new Map<string, VmProcess>();
    /** Counts the started processes, for their incarnations. */
    private startCount = 0;

    /**
     * @param random Returns numbers from 0 to 1, from the test's seed.
     * @param getDuration Returns how long a run takes, in milliseconds; negative for a run that fails after this time.
     * @param usesRelays Whether VMs relay the coordinator's calls to workers.
     */
    constructor(
        private readonly random: () => number,
        private readonly getDuration: (task: TaskRef, run: number) => number,
        private readonly usesRelays = false,
    ) {
        this.store = new MemoryStore(this.clock, random);
        this.fleet = new EmulatedFleet(this.clock, random);
        this.network = new ZonedNetwork(this.clock);
        this.runChecker = new RunInvariantChecker(
            () => this.clock.getNow(),
            task => listPrerequisiteTasks(this.specs.get(task.jobId), task),
            () => false,
            task => this.specs.get(task.jobId)?.steps[task.step].maxTasksPerWorker ?? 0,
        );
    }

    /** The VMs whose processes run. */
    get vms(): readonly string[] {
        return [...this.processes.keys()];
    }

    /** The VM that coordinates; the one with the newest term if others haven't noticed yet that they lost theirs. */
    get coordinator(): string | undefined {
        const active = [...this.processes].filter(([, { localCoordinator }]) => localCoordinator.isActive);
        return active.sort((left, right) =>
            (right[1].localCoordinator.holder?.term ?? 0) - (left[1].localCoordinator.holder?.term ?? 0)
        )
            .at(0)?.[0];
    }

    /** Starts a VM's process. */
    startVm(vm: string): void {
        const { clock } = this;
        this.startCount++;
        const incarnation = `${vm}#${this.startCount}`;
        const self: Candidate = { vm, incarnation, host: vm, port: 1, strength: 1, domain: "here" };
        const store = this.createStore(vm);
        const termLog = new TermLog(store, self, clock);
        const followers = new Followers();
        const loopMonitor = new EventLoopMonitor(clock);
        loopMonitor.start();
        const logger = this.createLogger(vm);
        const jobStateCache = new JobStateCache(clock, coordinatorRules.keepFinishedMs);
        const config = new ConfigKeeper({ store, codec: emulatedCodec, clock, logger, onConfig: () => undefined });
        const localCoordinator = new LocalCoordinator({
            termLog,
            store,
            clock,
            logger,
            rules,
            followers,
            jobStateCache,
            getResponsiveTime: () => loopMonitor.getResponsiveTime(),
            createCoordinator: termParts =>
                new Coordinator({
                    ...termParts,
                    store,
                    workers: this.usesRelays
                        ? this.createWorkerPort(self, termParts.term)
                        : this.network.createWorkerPort(vm, this.fleet),
                    advice: { requestTickets: () => Promise.resolve({ tickets: undefined, validMs: 0 }) },
                    vms: {
                        list: () => Promise.resolve(undefined),
                        startUpkeep: () => Promise.reject(new Error("unused")),
                    },
                    codec: emulatedCodec,
                    clock,
                    logger,
                    metrics: new Metrics(),
                    rules: coordinatorRules,
                    evacuations: config.evacuations.view,
                    getLoopDelay: () => 0,
                    meter: new WorkMeter(clock),
                }),
        });
        const membership = new Membership({
            self,
            termLog,
            localCoordinator,
            peers: { request: this.request.bind(this, vm) } as unknown as Peers,
            followers,
            config,
            jobFacts: new JobFactFollower(jobStateCache),
            clock,
            logger,
            rules,
            loopMonitor,
        });
        const orderRelay = new OrderRelay({
            workers: this.network.createWorkerPort(vm, this.fleet),
            clock,
            logger,
            getLoopDelay: () => 0,
            getKnownTerm: () => membership.knownTerm,
        });
        const jobService = createJobService({ store, clock, logger, jobStateCache, coordinatorClient: membership });
        this.processes.set(vm, { config, membership, localCoordinator, orderRelay, jobStateCache, jobService });
        void config.run();
        void membership.run();
    }

    /** Kills a VM's process, which doesn't hand its term over. Its address refuses connections from then on. */
    stopVm(vm: string): void {
        const process = this.processes.get(vm);
        this.processes.delete(vm);
        process?.config.close();
        process?.membership.close();
        process?.localCoordinator.stop(process.localCoordinator.holder?.term ?? -1, "killed");
    }

    /** What a VM's process remembers of jobs. */
    getJobStateCache(vm: string): JobStateCache | undefined {
        return this.processes.get(vm)?.jobStateCache;
    }

    /** The job service of a VM's process. */
    getJobService(vm: string): JobService | undefined {
        return this.processes.get(vm)?.jobService;
    }

    /** Starts a worker, in a failure domain, and adds its entry to the list of workers. */
    addWorker(id: string, domain?: string): void {
        const traits = { clockRate: 1, getDemand: undefined, domain };
        this.fleet.workers.set(id, new EmulatedWorker(id, this.clock, this.runChecker, this.getDuration, traits));
        this.listWorker(id);
    }

    /** Adds a worker's entry to the list of workers. */
    listWorker(id: string): void {
        const entry = this.fleet.workers.get(id)?.describeEntry();
        void this.appendUntilConfirmed(Topic.Workers, { key: id, value: Buffer.from(JSON.stringify(entry)) });
    }

    /** Removes a worker's entry from the list of workers; the worker keeps running. */
    removeWorker(id: string): void {
        void this.appendUntilConfirmed(Topic.Workers, { key: id, value: undefined });
    }

    /** Writes the operator's record that evacuates a failure domain, or removes it, until the store has acknowledged it. */
    async setEvacuated(domain: string, isEvacuated: boolean): Promise<void> {
        const value = isEvacuated ? Buffer.from("{}") : undefined;
        await this.appendUntilConfirmed(Topic.Operator, { key: `evacuation/${domain}`, value });
    }

    /** Records an accepted job, as an entry VM would. */
    submit(id: string, spec: JobSpec, queue: QueueConfig): void {
        this.specs.set(id, spec);
        const value = encodeJobRecord({ spec, queue, acceptedAtMs: this.clock.getWallTime() });
        void this.appendUntilConfirmed(Topic.Jobs, { key: id, value });
    }

    /** Sends a call to the coordinator over the peer frames of a VM, as another process would. */
    async callOver(vm: string, call: CoordinatorCall): Promise<CoordinatorReply | undefined> {
        return this.processes.get(vm)?.membership.answerCall(call, CALL_TIMEOUT_MS);
    }

    /** Repeats an append until the store confirms it, as callers and the platform do. */
    private async appendUntilConfirmed(topic: Topic, record: KeyedRecord): Promise<void> {
        const answer = await this.store.append({ topic, records: [record], timeoutMs: APPEND_TIMEOUT_MS });
        if (answer.outcome !== AppendOutcome.Appended) {
            await this.appendUntilConfirmed(topic, record);
        }
    }

    private createLogger(vm: string): EventLogger {
        const write = (event: string, fields: object | undefined) => {
            this.events.push(`${Math.round(this.clock.getNow())} ${vm} ${event} ${JSON.stringify(fields)}`);
        };
        return { info: write, warn: write, error: write };
    }

    private createStore(vm: string): StorePort {
        return createVmStore(this.store, {
            clock: this.clock,
            network: this.network,
            lost: this.lost,
            random: this.random,
            isCut: () => this.network.isStoreCut(vm),
            waitForFailure: timeoutMs => this.network.waitForFailure(vm, timeoutMs),
            isSilentAbout: topic => topic === Topic.Operator && this.withoutOperatorRecords.has(vm),
        });
    }

    private createWorkerPort(self: Candidate, term: number): RelayedWorkerPort {
        const getProcess = () => this.processes.get(self.vm);
        const port = new RelayedWorkerPort({
            direct: this.network.createWorkerPort(self.vm, this.fleet),
            term,
            incarnation: self.incarnation,
            clock: this.clock,
            logger: this.createLogger(self.vm),
            maxDirectWorkers: 0,
            getWorkerCount: () => 0,
            listRelays: () => getProcess()?.membership.relays ?? [],
            sendRequest: (relay, request, timeoutMs) => this.sendRelayRequest(self.vm, relay.vm, request, timeoutMs),
            getGatherMs: () => 2,
            isTermHeld: () => getProcess()?.localCoordinator.holder?.term === term,
            isEvacuated: domain => getProcess()?.config.evacuations.view.isEvacuated(domain) === true,
        });
        port.openSessions();
        return port;
    }

    private async sendRelayRequest(
        from: string,
        vm: string,
        request: RelayRequest,
        timeoutMs: number,
    ): Promise<RelayReply | undefined> {
        const { clock, relayFaults } = this;
        if (this.network.isVmLinkCut(from, vm)) {
            await this.network.waitForFailure(from, timeoutMs);
            return undefined;
        }
        const isLate = this.random() < relayFaults.lateShare;
        const delayMs = ONE_WAY_DELAY_MS + (isLate ? this.random() * relayFaults.maxLateMs : 0);
        const reply = waitFor(clock, delayMs)
            .then(() => this.processes.get(vm)?.orderRelay.handleRequest(request))
            .then(async answer => {
                await waitFor(clock, ONE_WAY_DELAY_MS);
                // A killed process sends no reply.
                return this.processes.has(vm) ? answer : undefined;
            });
        return Promise.race([reply, waitFor(clock, timeoutMs).then(() => undefined)]);
    }

    private async request(vm: string, peer: Candidate, kind: FrameKind, body: unknown, timeoutMs: number) {
        if (this.network.isVmLinkCut(vm, peer.vm)) {
            const isConnectionRefused = await this.network.waitForFailure(vm, timeoutMs);
            return { body: undefined, isConnectionRefused, hasAnswered: false };
        }
        this.requests.push({ from: vm, to: peer.vm, kind });
        await waitFor(this.clock, ONE_WAY_DELAY_MS * 2);
        const member = this.processes.get(peer.vm)?.membership;
        if (member === undefined) {
            return { body: undefined, isConnectionRefused: true, hasAnswered: false };
        }
        return { body: await this.answerFrame(member, kind, body), isConnectionRefused: false, hasAnswered: true };
    }

    private async answerFrame(member: Membership, kind: FrameKind, body: unknown): Promise<unknown> {
        switch (kind) {
            case FrameKind.FollowCoordinator: {
                const reply = member.answerFollowRequest(body as FollowRequest);
                this.followReplies.push(reply);
                return reply;
            }
            case FrameKind.CallCoordinator:
                return await member.answerCall(body as CoordinatorCall, CALL_TIMEOUT_MS);
            default:
                return member.answerPeerQuery(body as PeerQuery);
        }
    }
}
