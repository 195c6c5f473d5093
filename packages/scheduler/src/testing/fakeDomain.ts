import type { LogRecord, NewLogRecord, WorkerPort } from "@sardinestage/call-platform";
import { Metrics } from "@sardinestage/count-metrics";
import { applyTaskRecord, TaskLedger, TaskRecordKind } from "@sardinestage/fold-tasks";
import type { TaskStream } from "@sardinestage/follow-tasks";
import { GrantLedger } from "@sardinestage/grant-connections";
import { silentLogger } from "@sardinestage/log-events";
import { EvictionBudget } from "@sardinestage/plan-reactions";
import type { VmRecord } from "@sardinestage/types";
import { TaskPhase, Urgency, VmRole, VmState, WorkKind } from "@sardinestage/types";
import { Behaviour } from "../behaviour.js";
import type { SchedulerMembers } from "../schedulerMembers.js";
import type { SchedulerSettings } from "../schedulerSettings.js";
import { WorkerControl } from "../workerControl.js";
import type { WorkerFleet } from "../workerFleet.js";
import { WorkerGuard } from "../workerGuard.js";
import { createFakePort } from "./createFakePort.js";
import type { FakeLink } from "./fakeLink.js";
import { FakeWorker } from "./fakeWorker.js";
import { OwnershipOracle } from "./ownershipOracle.js";

const SIZE = { cpuMillis: 1_000, memoryMb: 1, accelerators: 0, slots: 1 };
const CAPACITY = { cpuMillis: 8_000, memoryMb: 100, accelerators: 0, slots: 8 };
const TICK_MS = 1_000;
const MAX_GAP_MS = 4_000;
/** Some work is long, so that it still runs when a take-over or a condemnation is through. */
const RUN_MS = [5_000, 90_000];

interface FakeScheduler {
    name: string;
    life: number;
    startedAtMs: number;
    isPaused: boolean;
    isLogOut: boolean;
    ledger: TaskLedger;
    readOffset: number;
    freshAtMs: number;
    continuousSinceMs: number;
    outbox: NewLogRecord[];
    promises: Map<string, { atMs: number; condemned: readonly string[]; contested: readonly string[] }>;
    controls: Map<string, WorkerControl>;
    guard: WorkerGuard;
}

/**
 * Schedulers, workers and a log on a virtual clock. The schedulers' control and guard are the real ones; the network,
 * the log and the workers are fakes whose faults are chosen from outside.
 */
export class FakeDomain {
    readonly oracle = new OwnershipOracle();
    readonly clock = { nowMs: 100_000 };
    readonly workers: FakeWorker[];
    readonly schedulers: FakeScheduler[] = [];
    readonly links = new Map<string, FakeLink>();
    /** Scheduler and worker, `s0>w1`: the list that the scheduler reads has dropped the worker. */
    readonly unlisted = new Set<string>();
    /** Whether the schedulers reach each other. */
    arePeersCut = false;
    private readonly drained = new Set<string>();
    private readonly records: LogRecord[] = [];
    private late: (() => void)[] = [];
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

    /** A scheduler dies and starts again as another holder; what it had sent may still arrive. */
    startAgain(index: number): void {
        const old = this.schedulers[index];
        this.late.push(() => old.outbox.forEach(record => this.addRecord(record)));
        this.schedulers[index] = this.createScheduler(old.name, old.life + 1);
    }

    /** A scheduler is paused; what it had sent may arrive in the meantime. */
    stopForAWhile(index: number): void {
        const scheduler = this.schedulers[index];
        const sent = scheduler.outbox.splice(0);
        this.late.push(() => sent.forEach(record => this.addRecord(record)));
        scheduler.isPaused = true;
    }

    /** A worker dies; the list drops it later. */
    stopWorker(index: number): void {
        this.workers[index].stop();
        this.oracle.recordGivenUp(this.workers[index].name);
    }

    /** An operator drains a worker, or restores it. */
    setDrained(index: number, isDrained: boolean): void {
        const { name } = this.workers[index];
        if (isDrained) {
            this.drained.add(name);
        }
        else {
            this.drained.delete(name);
        }
    }

    /** What was sent long ago arrives. */
    handleLate(): void {
        const late = this.late;
        this.late = [];
        late.forEach(arrive => arrive());
    }

    /** Lets a second pass: every scheduler that is not paused does a round. */
    async runTick(order: number): Promise<void> {
        this.clock.nowMs += TICK_MS;
        this.workers.forEach(worker => worker.run());
        for (const { name } of this.workers) {
            if (this.schedulers.some(scheduler => this.isLeaving(scheduler, name))) {
                this.oracle.recordGivenUp(name);
            }
        }
        const turn = order % this.schedulers.length;
        for (const scheduler of [...this.schedulers.slice(turn), ...this.schedulers.slice(0, turn)]) {
            if (!scheduler.isPaused) {
                await this.runRound(scheduler);
            }
        }
    }

    /** Ends every fault. */
    reset(): void {
        this.links.clear();
        this.drained.clear();
        this.unlisted.clear();
        this.arePeersCut = false;
        this.workers.filter(worker => worker.isDead).forEach(({ name }) =>
            this.schedulers.forEach(scheduler => this.unlisted.add(`${scheduler.name}>${name}`))
        );
        this.schedulers.forEach(scheduler => {
            scheduler.isPaused = false;
            scheduler.isLogOut = false;
        });
    }

    /** Tasks that have not come to their end, as the log has it. */
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
        scheduler.guard.checkWorkers();
        if (!scheduler.isLogOut) {
            scheduler.outbox.splice(0).forEach(record => this.addRecord(record));
        }
    }

    private readLog(scheduler: FakeScheduler): void {
        if (scheduler.isLogOut) {
            return;
        }
        this.records.slice(scheduler.readOffset).forEach(record => applyTaskRecord(scheduler.ledger, record));
        scheduler.readOffset = this.records.length;
        if (this.clock.nowMs - scheduler.freshAtMs > MAX_GAP_MS) {
            scheduler.continuousSinceMs = this.clock.nowMs;
        }
        scheduler.freshAtMs = this.clock.nowMs;
    }

    private shareStatus(scheduler: FakeScheduler): void {
        for (const peer of this.schedulers) {
            if (peer !== scheduler && !peer.isPaused && !this.arePeersCut) {
                const condemned = peer.guard.listCondemned();
                const contested = scheduler.guard.listCondemned()
                    .filter(worker => peer.controls.get(worker)?.getToken() !== undefined);
                scheduler.promises.set(peer.name, { atMs: this.clock.nowMs, condemned, contested });
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

    private createScheduler(name: string, life: number): FakeScheduler {
        const scheduler = {
            name,
            life,
            startedAtMs: this.clock.nowMs,
            isPaused: false,
            isLogOut: false,
            ledger: new TaskLedger(),
            readOffset: 0,
            freshAtMs: Number.NEGATIVE_INFINITY,
            continuousSinceMs: Number.POSITIVE_INFINITY,
            outbox: [],
            promises: new Map(),
            controls: new Map<string, WorkerControl>(),
        } as unknown as FakeScheduler;
        const { settings } = this;
        const now = () => this.clock.nowMs;
        const holder = `${name}:${life}`;
        const stream = this.createStream(scheduler);
        const members = this.createMembers(scheduler);
        const metrics = new Metrics();
        const fleet = { findControl: (worker: string) => scheduler.controls.get(worker) } as unknown as WorkerFleet;
        scheduler.guard = new WorkerGuard({
            settings,
            holder,
            stream,
            fleet,
            members,
            metrics,
            logger: silentLogger,
            now,
            isGivenUp: worker => this.isLeaving(scheduler, worker),
        });
        const context = {
            settings,
            holder,
            stream,
            members,
            metrics,
            logger: silentLogger,
            now,
            behaviour: new Behaviour(0.9),
            grants: new GrantLedger({ ttlMs: 1, maxDeadlineMs: 1, clockMarginMs: 0 }),
            evictions: new EvictionBudget(100),
            createPort: (vm: VmRecord) => this.createPort(scheduler, vm.vm, life),
            isLeaving: (worker: string) => this.isLeaving(scheduler, worker),
            hasRoomElsewhere: () => false,
            getConcurrency: () => 1,
            mayGiveWay: () => false,
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

    private createPort(scheduler: FakeScheduler, name: string, life: number): WorkerPort {
        return createFakePort({
            findWorker: () => this.workers.find(worker => worker.name === name && !worker.isDead),
            getLink: () => this.links.get(`${scheduler.name}>${name}`) ?? "up",
            isAlive: () => life === scheduler.life,
            handleLate: arrive => this.late.push(arrive),
        });
    }

    private createStream(scheduler: FakeScheduler): TaskStream {
        return {
            ledger: scheduler.ledger,
            append: (record: NewLogRecord) => {
                if (!scheduler.outbox.some(each => each.id === record.id)) {
                    scheduler.outbox.push(record);
                }
                return true;
            },
            appendEvent: () => {},
            getFreshAtMs: () => scheduler.freshAtMs,
            isFresh: () => this.clock.nowMs - scheduler.freshAtMs <= MAX_GAP_MS,
            isLoaded: () => scheduler.freshAtMs > Number.NEGATIVE_INFINITY,
            updateContinuity: () =>
                this.clock.nowMs - scheduler.freshAtMs > MAX_GAP_MS
                    ? Number.POSITIVE_INFINITY
                    : scheduler.continuousSinceMs,
        } as unknown as TaskStream;
    }

    /** Everybody thinks itself first, which makes for the most fights. */
    private createMembers(scheduler: FakeScheduler): SchedulerMembers {
        return {
            computeRank: () => 0,
            computeHoldRank: () => 0,
            listPromises: (worker: string) =>
                this.schedulers.filter(peer => peer.name !== scheduler.name).map(peer => {
                    const promise = scheduler.promises.get(peer.name);
                    return promise === undefined || promise.condemned.includes(worker)
                        ? Number.NEGATIVE_INFINITY
                        : promise.atMs;
                }),
            isContested: (worker: string) =>
                [...scheduler.promises.values()].some(({ contested }) => contested.includes(worker)),
        } as unknown as SchedulerMembers;
    }
}
