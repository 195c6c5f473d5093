import { Metrics } from "@sardinestage/count-metrics";
import type { AdvicePort, KeyedRecord } from "@sardinestage/describe-ports";
import { Topic, waitFor } from "@sardinestage/describe-ports";
import type { JobSpec, QueueConfig, TaskRef } from "@sardinestage/describe-work";
import { WorkerState } from "@sardinestage/describe-work";
import {
    emulatedCodec,
    EmulatedFleet,
    emulatedStoreLimits,
    EmulatedWorker,
    listPrerequisiteTasks,
    MemoryStore,
    RunInvariantChecker,
    SingleThreadWorkerPort,
    VirtualClock,
} from "@sardinestage/emulate-platform";
import type { EmulatedWorkerTraits } from "@sardinestage/emulate-platform";
import { authorityTimes, EarlierTerm } from "@sardinestage/keep-term";
import { EvacuationTable } from "@sardinestage/track-evacuations";
import { CANCEL_SUFFIX, encodeJobRecord, PartKey } from "@sardinestage/track-jobs";
import { WorkMeter } from "@sardinestage/watch-loop";
import { Coordinator } from "../coordinator.js";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import type { SchedulingFeatures } from "../schedulingFeatures.js";
import { PartitionedFleet } from "./partitionedFleet.js";

const APPEND_TIMEOUT_MS = 1000;
/** Pause between two tries to take over, in milliseconds, and the number of tries, as in a VM's process. */
const TAKEOVER_RETRY_MS = 100;
const MAX_TAKEOVER_TRIES = 40;
/** Distance between two terms: the fencing tokens of a term lie between it and the next one. */
const TERM_DISTANCE = 1_000_000;
/** Interval at which a term gets another fencing token, in milliseconds, as if the term were renewed then. */
const RENEWAL_INTERVAL_MS = 500;
const rules = {
    leaseMs: 4500,
    maxLeaseMs: 6000,
    keepFinishedMs: 120_000,
    storeLimits: emulatedStoreLimits,
    harmMs: 4000,
    paceMs: 100,
    entryReturnMs: 2000,
};

/** Test harness: real coordinators with an emulated store and emulated workers, on a virtual clock. */
export class CoordinatorHarness {
    readonly clock = new VirtualClock();
    readonly store: MemoryStore;
    readonly fleet: EmulatedFleet;
    readonly runChecker: RunInvariantChecker;
    readonly events: string[] = [];
    readonly specs = new Map<string, JobSpec>();
    readonly cancelled = new Set<string>();
    readonly lostTermReasons: string[] = [];
    coordinator: Coordinator | undefined;
    /** The evacuations that the coordinators know; a test may replace them before a term begins. */
    evacuations = new EvacuationTable();
    /** The optional parts of scheduling that are on in terms that begin from now on. */
    features: SchedulingFeatures = noSchedulingFeatures;
    /** Time that each call to a worker, and each answer, occupies the coordinator's thread, in milliseconds. */
    callCostMs = 0;
    /** Time that sending a start order occupies the thread, in milliseconds. */
    sendCostMs = 0;
    /** The usual delay of the coordinator's event loop, in milliseconds. */
    loopDelayMs = 0;
    /** In what workers added from now on differ from others. */
    workerTraits: EmulatedWorkerTraits | undefined;
    /** Whether the coordinators may start tasks and renew leases. */
    hasAuthority = true;
    /** Whether the authority of a coordinator runs out by itself after its successor's term has begun. */
    endsAuthority = false;
    /** Returns whether the coordinator of a term, counted from 1, is cut off from a worker. */
    isCutOff: (termOrdinal: number, workerId: string) => boolean = () => false;
    /** Answers for the advice service; as a rule, there is none. */
    requestTickets: AdvicePort["requestTickets"] = () => Promise.resolve({ tickets: undefined, validMs: 0 });
    private terms = 0;

    /**
     * @param random Random numbers from 0 to 1, from the test's seed.
     * @param getDuration Returns the duration of a run in milliseconds; negative for a run that fails after that time.
     */
    constructor(random: () => number, private readonly getDuration: (task: TaskRef, run: number) => number) {
        this.evacuations.noteRead(0);
        this.store = new MemoryStore(this.clock, random);
        this.fleet = new EmulatedFleet(this.clock, random);
        this.runChecker = new RunInvariantChecker(
            () => this.clock.getNow(),
            task => listPrerequisiteTasks(this.specs.get(task.jobId), task),
            task => this.specs.get(task.jobId)?.steps[task.step].speculative === true,
            task => this.specs.get(task.jobId)?.steps[task.step].maxTasksPerWorker ?? 0,
        );
    }

    /** Number of terms that have begun. */
    get termCount(): number {
        return this.terms;
    }

    /** Adds a worker and publishes its entry. */
    async addWorker(id: string): Promise<void> {
        const { clock, runChecker, getDuration, workerTraits } = this;
        this.fleet.workers.set(id, new EmulatedWorker(id, clock, runChecker, getDuration, workerTraits));
        await this.publishEntry(id);
    }

    /** Ends a worker; the platform removes its entry some time later. */
    stopWorker(id: string): void {
        this.fleet.workers.get(id)?.stopAbruptly();
        this.fleet.workers.delete(id);
        this.clock.schedule(rules.entryReturnMs, () => {
            if (!this.fleet.workers.has(id)) {
                void this.appendUntilConfirmed(Topic.Workers, { key: id, value: undefined });
            }
        });
    }

    /** Ends a worker's life and starts the next one under its id, which is as reachable as the former one. */
    resetWorker(id: string, pauseMs = 1): void {
        const former = this.fleet.workers.get(id);
        former?.stopAbruptly();
        this.fleet.workers.delete(id);
        this.clock.schedule(pauseMs, () => {
            void this.addWorker(id);
            Object.assign(this.fleet.workers.get(id) ?? {}, { isUnreachable: former?.isUnreachable ?? false });
        });
    }

    /** Publishes a worker's entry in the platform's list. */
    async publishEntry(id: string): Promise<void> {
        const entry = this.fleet.workers.get(id)?.describeEntry();
        await this.appendUntilConfirmed(Topic.Workers, { key: id, value: Buffer.from(JSON.stringify(entry)) });
    }

    /** Publishes that a worker drains. */
    async drainWorker(id: string): Promise<void> {
        const entry = {
            ...this.fleet.workers.get(id)?.describeEntry(),
            state: WorkerState.Draining,
            remainingMs: 5000,
        };
        await this.appendUntilConfirmed(Topic.Workers, { key: id, value: Buffer.from(JSON.stringify(entry)) });
    }

    /** Removes a worker's entry from the platform's list while the worker keeps running. */
    async withdrawEntry(id: string): Promise<void> {
        await this.appendUntilConfirmed(Topic.Workers, { key: id, value: undefined });
    }

    /** Accepts a job as an entry VM would. */
    async submit(id: string, spec: JobSpec, queue: QueueConfig): Promise<void> {
        this.specs.set(id, spec);
        const value = encodeJobRecord({ spec, queue, acceptedAtMs: this.clock.getWallTime() });
        await this.appendUntilConfirmed(Topic.Jobs, { key: id, value });
    }

    /** Cancels a job as an entry VM would. */
    async cancel(id: string): Promise<void> {
        this.cancelled.add(id);
        await this.appendUntilConfirmed(Topic.Jobs, { key: id + CANCEL_SUFFIX, value: Buffer.from([1]) });
    }

    /** Reads the newest record of each key in a topic. */
    async readNewest(topic: Topic): Promise<readonly KeyedRecord[]> {
        const reading = this.store.readNewest(topic, undefined);
        await this.clock.runFor(50);
        return (await reading).records;
    }

    /** Counts the records of parts of jobs' progress in the store. */
    async countProgressParts(): Promise<number> {
        let count = 0;
        let after: string | undefined;
        let hasMore = true;
        while (hasMore) {
            const reading = this.store.readNewest(Topic.Progress, after);
            await this.clock.runFor(50);
            const page = await reading;
            count += page.records.filter(({ key }) => PartKey.parse(key) !== undefined).length;
            after = page.records.at(-1)?.key;
            hasMore = page.hasMore;
        }
        return count;
    }

    /** Begins the next term without informing the previous coordinator. */
    startTerm(hadUnrecordedStarts: boolean): void {
        this.terms++;
        const ordinal = this.terms;
        const term = ordinal * TERM_DISTANCE;
        let renewals = 0;
        let renewedAtMs = this.clock.getNow();
        const renewTerm = () => {
            if (!this.store.faults.isDown) {
                renewals++;
                // The store confirms no term once a later one has begun.
                renewedAtMs = ordinal === this.terms ? this.clock.getNow() : renewedAtMs;
            }
            this.clock.schedule(RENEWAL_INTERVAL_MS, renewTerm);
        };
        this.clock.schedule(RENEWAL_INTERVAL_MS, renewTerm);
        // While the store is away, the other VMs' promises extend the authority.
        const getAuthorityAge = () => this.store.faults.isDown ? 0 : this.clock.getNow() - renewedAtMs;
        const { confirmedMs } = authorityTimes;
        const earlierTerm = new EarlierTerm(this.clock, this.clock.getNow(), true);
        const coordinator = new Coordinator({
            store: this.store,
            workers: new SingleThreadWorkerPort(
                new PartitionedFleet(this.fleet, this.clock, workerId => this.isCutOff(ordinal, workerId)),
                this.clock,
                this.callCostMs,
                () => this.clock.skipTime(this.sendCostMs),
            ),
            advice: { requestTickets: (...query) => this.requestTickets(...query) },
            vms: {
                list: () => Promise.resolve(undefined),
                startUpkeep: () => Promise.reject(new Error("The harness emulates no upkeep of VMs.")),
            },
            codec: emulatedCodec,
            clock: this.clock,
            logger: {
                info: (event, fields) => this.recordEvent(ordinal, event, fields),
                warn: (event, fields) => this.recordEvent(ordinal, event, fields),
                error: (event, fields) => this.recordEvent(ordinal, event, fields),
            },
            metrics: new Metrics(),
            rules: { ...rules, features: this.features },
            evacuations: this.evacuations,
            term,
            getNewestFence: () => term + renewals,
            hadUnrecordedStarts,
            hasAuthority: () => this.hasAuthority && (!this.endsAuthority || getAuthorityAge() < confirmedMs),
            earlierTerm,
            getAuthorityAge,
            getTermRenewalAge: () => Infinity,
            getLoopDelay: () => this.loopDelayMs,
            meter: new WorkMeter(this.clock),
            onTermLost: reason => {
                this.lostTermReasons.push(reason);
                coordinator.close();
            },
        });
        this.coordinator = coordinator;
        void this.openWhenPossible(coordinator);
    }

    /** Tries to take over as a VM's process does; if that fails for long, another VM begins the next term. */
    private async openWhenPossible(coordinator: Coordinator): Promise<void> {
        for (let tries = 0; tries < MAX_TAKEOVER_TRIES && this.coordinator === coordinator; tries++) {
            if (await coordinator.open()) {
                return;
            }
            await waitFor(this.clock, TAKEOVER_RETRY_MS);
        }
        if (this.coordinator === coordinator) {
            coordinator.close();
            this.startTerm(true);
        }
    }

    private recordEvent(ordinal: number, event: string, fields: object | undefined): void {
        this.events.push(`${Math.round(this.clock.getNow())} term ${ordinal} ${event} ${JSON.stringify(fields)}`);
    }

    /** Repeats an append until it is confirmed, as callers do. */
    async appendUntilConfirmed(topic: Topic, record: KeyedRecord): Promise<void> {
        const answer = await this.store.append({ topic, records: [record], timeoutMs: APPEND_TIMEOUT_MS });
        if (answer.offset === 0 && answer.end === 0) {
            await this.appendUntilConfirmed(topic, record);
        }
    }
}
