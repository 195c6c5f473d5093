import type { LogRecord, NewLogRecord, WorkerPort } from "@sardinestage/call-platform";
import { Metrics } from "@sardinestage/count-metrics";
import { applyTaskRecord, TaskLedger, TaskRecordKind } from "@sardinestage/fold-tasks";
import type { TaskStream } from "@sardinestage/follow-tasks";
import { GrantLedger } from "@sardinestage/grant-connections";
import { silentLogger } from "@sardinestage/log-events";
import { EvictionBudget } from "@sardinestage/plan-reactions";
import type { VmRecord } from "@sardinestage/types";
import { TaskPhase, Urgency, VmRole, VmState, WorkKind } from "@sardinestage/types";
import { BehaviourModel } from "../behaviourModel.js";
import { CondemnationController } from "../condemnationController.js";
import type { SchedulerMembers } from "../schedulerMembers.js";
import type { SchedulerSettings } from "../schedulerSettings.js";
import { WorkerControl } from "../workerControl.js";
import type { WorkerFleet } from "../workerFleet.js";
import { createFakePort } from "./createFakePort.js";
import type { FakeLink } from "./fakeLink.js";
import type { FakeScheduler } from "./fakeScheduler.js";
import { FakeWorker } from "./fakeWorker.js";
import { OwnershipOracle } from "./ownershipOracle.js";

const SIZE = { cpuMillis: 1_000, memoryMb: 1, accelerators: 0, slots: 1 };
const CAPACITY = { cpuMillis: 8_000, memoryMb: 100, accelerators: 0, slots: 8 };
const TICK_MS = 1_000;
const MAX_GAP_MS = 4_000;
/** Half of the tasks are long, so that they still run when a takeover or a condemnation is complete. */
const RUN_MS = [5_000, 90_000];

/**
 * A failure domain on a virtual clock. `WorkerControl` and `CondemnationController` are the real classes. The network,
 * the log and the workers are fakes whose faults the test sets.
 */
export class FakeDomain {
    readonly oracle = new OwnershipOracle();
    readonly clock = { nowMs: 100_000 };
    readonly workers: FakeWorker[];
    readonly schedulers: FakeScheduler[] = [];
    readonly links = new Map<string, FakeLink>();
    /** Pairs of scheduler and worker, such as `s0>w1`: the scheduler's VM list no longer contains the worker. */
    readonly unlisted = new Set<string>();
    /** Whether the schedulers cannot reach each other. */
    arePeersCut = false;
    /** Whether a task that doesn't fit on its worker would find room on another. */
    hasRoomElsewhere = false;
    private readonly drained = new Set<string>();
    private readonly records: LogRecord[] = [];
    private delayedDeliveries: (() => void)[] = [];
    private submitted = 0;

    constructor(private readonly settings: SchedulerSettings, schedulers: number, workers: number) {
        this.workers = Array.from(
            { length: workers },
            (_, i) => new FakeWorker(`w${i}`, this.clock, this.oracle),
        );
        for (let i = 0; i < schedulers; i++) {
            this.schedulers.push(this.createScheduler(`s${i}`, 0));
        }
    }

    /** Submits a task. */
    submitTask(): void {
        const spec = {
            taskId: `d/t${this.submitted++}`,
            team: "t",
            kind: WorkKind.Batch,
            urgency: Urgency.Normal,
            taskClass: "c",
            size: SIZE,
            expectedRunMs: RUN_MS[this.submitted % RUN_MS.length],
            payload: "",
        };
        this.addRecord({ id: `submit:${spec.taskId}`, data: { kind: TaskRecordKind.Submit, spec } });
    }

    /** Restarts a scheduler as another lease holder. Records that it had sent may still arrive. */
    startAgain(index: number): void {
        const old = this.schedulers[index];
        this.delayedDeliveries.push(() => old.outbox.forEach(record => this.addRecord(record)));
        this.schedulers[index] = this.createScheduler(old.name, old.incarnation + 1);
    }

    /** Pauses a scheduler. Records that it had sent may arrive during the pause. */
    stopTemporarily(index: number): void {
        const scheduler = this.schedulers[index];
        const sent = scheduler.outbox.splice(0);
        this.delayedDeliveries.push(() => sent.forEach(record => this.addRecord(record)));
        scheduler.isPaused = true;
    }

    /** Kills a worker. The VM lists still contain it; `reset` removes it. */
    stopWorker(index: number): void {
        this.workers[index].stop();
        this.oracle.recordWorkerRemoved(this.workers[index].name);
    }

    /** Drains or restores a worker, as an operator does. */
    setDrained(index: number, isDrained: boolean): void {
        const { name } = this.workers[index];
        if (isDrained) {
            this.drained.add(name);
        }
        else {
            this.drained.delete(name);
        }
    }

    /** Delivers all delayed calls and records. */
    handleLate(): void {
        const deliveries = this.delayedDeliveries;
        this.delayedDeliveries = [];
        deliveries.forEach(deliver => deliver());
    }

    /** Advances the clock by one second and runs one round of every scheduler that is not paused. */
    async runTick(order: number): Promise<void> {
        this.clock.nowMs += TICK_MS;
        this.workers.forEach(worker => worker.run());
        for (const { name } of this.workers) {
            if (this.schedulers.some(scheduler => this.isLeaving(scheduler, name))) {
                this.oracle.recordWorkerRemoved(name);
            }
        }
        const firstIndex = order % this.schedulers.length;
        for (const scheduler of [...this.schedulers.slice(firstIndex), ...this.schedulers.slice(0, firstIndex)]) {
            if (!scheduler.isPaused) {
                await this.runRound(scheduler);
            }
        }
    }

    /** Ends every fault. Dead workers leave the VM list. */
    reset(): void {
        this.links.clear();
        this.drained.clear();
        this.unlisted.clear();
        this.arePeersCut = false;
        this.hasRoomElsewhere = false;
        this.workers.filter(worker => worker.isDead).forEach(({ name }) =>
            this.schedulers.forEach(scheduler => this.unlisted.add(`${scheduler.name}>${name}`))
        );
        this.schedulers.forEach(scheduler => {
            scheduler.isPaused = false;
            scheduler.isLogUnreachable = false;
        });
    }

    /** Ids of the tasks that are not finished according to the log. */
    listOpen(): string[] {
        const ledger = new TaskLedger();
        this.records.forEach(record => applyTaskRecord(ledger, record));
        const open = [...ledger.listTasks()].filter(entry => entry.phase !== TaskPhase.Finished);
        return open.map(entry => entry.spec.taskId);
    }

    private addRecord(record: NewLogRecord): void {
        this.records.push({ ...record, offset: this.records.length, appendedAtMs: this.clock.nowMs });
    }

    private async runRound(scheduler: FakeScheduler): Promise<void> {
        this.readLog(scheduler);
        this.shareStatus(scheduler);
        for (const control of scheduler.controls.values()) {
            await control.run();
        }
        this.bindWaiting(scheduler);
        scheduler.condemnationController.checkWorkers();
        if (!scheduler.isLogUnreachable) {
            scheduler.outbox.splice(0).forEach(record => this.addRecord(record));
        }
    }

    private readLog(scheduler: FakeScheduler): void {
        if (scheduler.isLogUnreachable) {
            return;
        }
        this.records.slice(scheduler.readOffset).forEach(record => {
            scheduler.unreadIds.delete(record.id);
            applyTaskRecord(scheduler.ledger, record);
        });
        scheduler.readOffset = this.records.length;
        if (this.clock.nowMs - scheduler.freshAtMs > MAX_GAP_MS) {
            scheduler.continuousSinceMs = this.clock.nowMs;
        }
        scheduler.freshAtMs = this.clock.nowMs;
    }

    private shareStatus(scheduler: FakeScheduler): void {
        for (const peer of this.schedulers) {
            if (peer !== scheduler && !peer.isPaused && !this.arePeersCut) {
                const condemned = peer.condemnationController.listCondemned();
                const contested = scheduler.condemnationController.listCondemned()
                    .filter(worker => peer.controls.get(worker)?.getToken() !== undefined);
                scheduler.peerStatuses.set(peer.name, { atMs: this.clock.nowMs, condemned, contested });
            }
        }
    }

    private bindWaiting(scheduler: FakeScheduler): void {
        for (const taskId of scheduler.ledger.listWaiting()) {
            const entry = scheduler.ledger.getTask(taskId);
            const control = [...scheduler.controls.values()].find(each =>
                each.isHeld() && each.hasAuthority() && !this.isLeaving(scheduler, each.vm.vm)
            );
            const token = control?.getToken();
            if (entry !== undefined && control !== undefined && token !== undefined) {
                const generation = entry.generation + 1;
                const worker = control.vm.vm;
                scheduler.outbox.push({
                    id: `bind:${taskId}:${generation}:${worker}:${token}`,
                    data: { kind: TaskRecordKind.Bind, taskId, generation, worker, token },
                });
            }
        }
    }

    private isLeaving(scheduler: FakeScheduler, worker: string): boolean {
        return this.unlisted.has(`${scheduler.name}>${worker}`) || this.drained.has(worker);
    }

    private createScheduler(name: string, incarnation: number): FakeScheduler {
        const scheduler = {
            name,
            incarnation,
            startedAtMs: this.clock.nowMs,
            isPaused: false,
            isLogUnreachable: false,
            ledger: new TaskLedger(),
            readOffset: 0,
            freshAtMs: Number.NEGATIVE_INFINITY,
            continuousSinceMs: Number.POSITIVE_INFINITY,
            outbox: [],
            unreadIds: new Set(),
            peerStatuses: new Map(),
            controls: new Map<string, WorkerControl>(),
        } as unknown as FakeScheduler;
        const { settings } = this;
        const now = () => this.clock.nowMs;
        const holder = `${name}:${incarnation}`;
        const stream = this.createStream(scheduler);
        const members = this.createMembers(scheduler);
        const metrics = new Metrics();
        const fleet = { findControl: (worker: string) => scheduler.controls.get(worker) } as unknown as WorkerFleet;
        scheduler.condemnationController = new CondemnationController({
            settings,
            holder,
            stream,
            fleet,
            members,
            metrics,
            logger: silentLogger,
            now,
            isRemovedOrDrained: worker => this.isLeaving(scheduler, worker),
        });
        const context = {
            settings,
            holder,
            stream,
            members,
            metrics,
            logger: silentLogger,
            now,
            behaviour: new BehaviourModel(0.9),
            grants: new GrantLedger({ ttlMs: 1, maxDeadlineMs: 1, clockMarginMs: 0 }),
            evictions: new EvictionBudget(100),
            createPort: (vm: VmRecord) => this.createPort(scheduler, vm.vm, incarnation),
            isLeaving: (worker: string) => this.isLeaving(scheduler, worker),
            hasCapacityElsewhere: () => this.hasRoomElsewhere,
            getConcurrency: () => 1,
            mayPreempt: () => false,
        };
        for (const { name: vm } of this.workers) {
            const record = {
                vm,
                role: VmRole.Worker,
                domain: "d",
                region: "r",
                rack: "k",
                state: VmState.Live,
                address: "",
                capacity: CAPACITY,
            };
            scheduler.controls.set(vm, new WorkerControl(context, record));
        }
        return scheduler;
    }

    private createPort(scheduler: FakeScheduler, name: string, incarnation: number): WorkerPort {
        return createFakePort({
            findWorker: () => this.workers.find(worker => worker.name === name && !worker.isDead),
            getLink: () => this.links.get(`${scheduler.name}>${name}`) ?? "up",
            isAlive: () => incarnation === scheduler.incarnation,
            scheduleDelivery: deliver => this.delayedDeliveries.push(deliver),
        });
    }

    private createStream(scheduler: FakeScheduler): TaskStream {
        return {
            ledger: scheduler.ledger,
            append: (record: NewLogRecord) => {
                scheduler.unreadIds.add(record.id);
                if (!scheduler.outbox.some(each => each.id === record.id)) {
                    scheduler.outbox.push(record);
                }
                return true;
            },
            appendEvent: () => {},
            isPending: (id: string) => scheduler.unreadIds.has(id),
            getFreshAtMs: () => scheduler.freshAtMs,
            isFresh: () => this.clock.nowMs - scheduler.freshAtMs <= MAX_GAP_MS,
            isLoaded: () => scheduler.freshAtMs > Number.NEGATIVE_INFINITY,
            updateContinuity: () =>
                this.clock.nowMs - scheduler.freshAtMs > MAX_GAP_MS
                    ? Number.POSITIVE_INFINITY
                    : scheduler.continuousSinceMs,
        } as unknown as TaskStream;
    }

    /** Ranks every scheduler first for every key, which causes the most conflicts between schedulers. */
    private createMembers(scheduler: FakeScheduler): SchedulerMembers {
        return {
            computeRank: () => 0,
            computeHoldRank: () => 0,
            listPeerConfirmations: (worker: string) =>
                this.schedulers.filter(peer => peer.name !== scheduler.name).map(peer => {
                    const status = scheduler.peerStatuses.get(peer.name);
                    return status === undefined || status.condemned.includes(worker)
                        ? Number.NEGATIVE_INFINITY
                        : status.atMs;
                }),
            isContested: (worker: string) =>
                [...scheduler.peerStatuses.values()].some(({ contested }) => contested.includes(worker)),
        } as unknown as SchedulerMembers;
    }
}
