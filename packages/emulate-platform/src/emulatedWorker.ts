import type { Clock, EndedRun, LeaseRenewal, LeaseReport, StartOrder } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import type { TaskRef, WorkerEntry } from "@sardinestage/describe-work";
import { formatTaskKey, RunEnd, WorkerState } from "@sardinestage/describe-work";
import type { EmulatedWorkerTraits } from "./emulatedWorkerTraits.js";
import type { RunInvariantChecker } from "./runInvariantChecker.js";

/** The longest lease that a worker grants, in milliseconds. */
const MAX_LEASE_MS = 6000;
/** Time from a stop order to the end of the run, in milliseconds. */
const STOP_DURATION_MS = 300;
/**
 * Time in which a run's reported progress rises by one percent, in milliseconds. Progress wraps around at 100 percent,
 * after far longer than the longest time between two polls, so that progress differs between two polls.
 */
const MS_PER_PERCENT = 61;
const CPU_MILLIS = 16_000;
const MEMORY_MB = 64_000;
/** The most ended runs that one report lists. */
const MAX_REPORTED_ENDS = 500;
const DEFAULT_TRAITS: EmulatedWorkerTraits = { clockRate: 1, getDemand: undefined };

/** A run in progress. */
interface Run {
    readonly task: TaskRef;
    readonly run: number;
    readonly checkpoint: string;
    readonly cancelEnd: () => void;
    isStopping: boolean;
}

/** One process lifetime of an emulated worker, with its own clock, lease and list of ended runs. */
export class EmulatedWorker {
    /** The active runs by task and run number: several runs of one task may be active. */
    private readonly runs = new Map<string, Run>();
    private unacknowledgedEnds: EndedRun[] = [];
    /** How often the task of each unacknowledged end had been started by then, by the end's number; none after a lapse. */
    private readonly startCounts = new Map<number, number>();
    /** Numbers of the unacknowledged ends of runs that failed before an end as done of their task was acknowledged. */
    private readonly countedFailures = new Set<number>();
    /** The highest run number of each task that was stopped or has ended here. */
    private readonly refusedRunNumbers = new Map<string, number>();
    private readonly waiters = new Set<() => void>();
    private fence = 0;
    private lastEndNumber = 0;
    private leaseUntilMs = 0;
    private cancelExpiry: (() => void) | undefined;
    private hasCrashed = false;
    readonly bornMs: number;
    /** When the first renewal of a lease reached this life, in steady milliseconds; undefined before. */
    firstRenewedAtMs: number | undefined;
    private readonly startedAtMs: number;
    /** The highest number of an end that an answer has listed; 0 if none has. */
    listedEndNumber = 0;
    /** Whether the worker is unreachable: no call gets an answer. */
    isUnreachable = false;
    /** Whether the call that is being carried out was held up on its way until its caller had given up. */
    isServedLate = false;

    /**
     * @param id The worker's id in the platform's list of workers.
     * @param clock The test's clock.
     * @param invariantChecker Is notified of each run's start and end.
     * @param getDuration Returns a run's duration in milliseconds; negative if the run fails after that time.
     * @param traits In what the worker differs from others.
     */
    constructor(
        readonly id: string,
        private readonly clock: Clock,
        private readonly invariantChecker: RunInvariantChecker,
        private readonly getDuration: (task: TaskRef, run: number) => number,
        private readonly traits: EmulatedWorkerTraits = DEFAULT_TRAITS,
    ) {
        this.bornMs = Math.floor(clock.getWallTime());
        this.startedAtMs = clock.getNow();
    }

    /** Returns the worker's entry for the platform's list of workers. */
    describeEntry(): WorkerEntry {
        return {
            id: this.id,
            bornMs: this.bornMs,
            service: "service",
            address: this.id,
            domain: this.traits.domain ?? "here",
            state: WorkerState.Ready,
            capacity: { cpuMillis: CPU_MILLIS, memoryMb: MEMORY_MB, accelerators: 0 },
            labels: ["kind", "rack"],
            rack: "rack",
            remainingMs: 0,
            coldRemainingMs: this.traits.coldMs ?? 0,
        };
    }

    /** Whether the worker has crashed: calls that wait for an answer lose their connection. */
    get isCrashed(): boolean {
        return this.hasCrashed;
    }

    /** Whether runs have ended here, none is active, and an answer has listed each end that isn't acknowledged. */
    get hasListedAllEnds(): boolean {
        return this.lastEndNumber > 0 && this.runs.size === 0 && this.listedEndNumber >= this.lastEndNumber;
    }

    /** Returns the number of active runs. */
    countRuns(): number {
        return this.runs.size;
    }

    /** Crashes the worker: all runs end without being reported. */
    stopAbruptly(): void {
        this.hasCrashed = true;
        this.cancelExpiry?.();
        for (const run of this.runs.values()) {
            run.cancelEnd();
            this.invariantChecker.noteEnd(run.task, this.id, false);
        }
        this.runs.clear();
        this.waiters.forEach(wake => wake());
    }

    /**
     * Starts a run unless the fencing token, the lease, a run that was stopped or has ended here, or the capacity forbids
     * it. Another active run of the task doesn't.
     */
    start(order: StartOrder): OrderOutcome {
        const refusal = this.checkFence(order.fence);
        if (refusal !== undefined) {
            return refusal;
        }
        const key = formatRunKey(order.task, order.run);
        if (this.runs.has(key)) {
            this.extendLease(order.leaseUntilMs);
            return OrderOutcome.Accepted;
        }
        if (order.leaseUntilMs <= this.getClockTime()) {
            return OrderOutcome.LeaseOver;
        }
        this.extendLease(order.leaseUntilMs);
        if (order.run <= (this.refusedRunNumbers.get(formatTaskKey(order.task)) ?? 0)) {
            return OrderOutcome.RunEnded;
        }
        if (!this.hasRoom(order.task)) {
            return OrderOutcome.NoRoom;
        }
        const usual = this.getDuration(order.task, order.run);
        const duration = this.traits.changeDuration?.(usual) ?? usual;
        const end = duration < 0 ? RunEnd.Failed : RunEnd.Done;
        const cancelEnd = this.clock.schedule(Math.abs(duration), () => this.finishRun(key, end));
        this.runs.set(key, {
            task: order.task,
            run: order.run,
            checkpoint: order.checkpoint,
            cancelEnd,
            isStopping: false,
        });
        this.invariantChecker.noteStart(order.task, this.id, this.isServedLate);
        return OrderOutcome.Accepted;
    }

    /** Stops a run, which may end by itself until the stop is done; a run that isn't here is prevented from starting. */
    stop(task: TaskRef, run: number, fence: number): OrderOutcome {
        const refusal = this.checkFence(fence);
        if (refusal !== undefined) {
            return refusal;
        }
        const key = formatRunKey(task, run);
        const running = this.runs.get(key);
        if (running !== undefined && !running.isStopping) {
            running.isStopping = true;
            this.clock.schedule(STOP_DURATION_MS, () => this.finishRun(key, RunEnd.Stopped));
        }
        this.refuseRunsUpTo(task, run);
        return OrderOutcome.Accepted;
    }

    /** Extends the lease, drops acknowledged ends, waits for an end if asked to, and lists active and ended runs. */
    async renewLease(order: LeaseRenewal): Promise<LeaseReport> {
        this.firstRenewedAtMs ??= this.clock.getNow();
        const refusal = this.checkFence(order.fence);
        if (refusal !== undefined) {
            return this.buildLeaseReport(refusal);
        }
        if (order.bornMs !== undefined && order.bornMs !== 0 && order.bornMs !== this.bornMs) {
            // What belongs to another life must not reach this one, by the contract of the worker port.
            return this.buildLeaseReport(OrderOutcome.Accepted);
        }
        if (order.leaseUntilMs !== undefined) {
            this.extendLease(order.leaseUntilMs);
        }
        for (const ended of this.unacknowledgedEnds.filter(({ number }) => number <= order.lastRecordedEnd)) {
            if (ended.end === RunEnd.Done) {
                this.invariantChecker.noteAcknowledged(ended.task, this.startCounts.get(ended.number));
            }
            if (this.countedFailures.delete(ended.number)) {
                this.invariantChecker.noteFailureAcknowledged(ended.task);
            }
            this.startCounts.delete(ended.number);
        }
        this.unacknowledgedEnds = this.unacknowledgedEnds.filter(ended => ended.number > order.lastRecordedEnd);
        if (order.waitMs > 0 && this.unacknowledgedEnds.length === 0) {
            await this.waitForEnd(order.waitMs);
        }
        return this.buildLeaseReport(OrderOutcome.Accepted);
    }

    private buildLeaseReport(outcome: OrderOutcome): LeaseReport {
        const running = [...this.runs.values()].map(({ task, run, checkpoint }) => ({
            task,
            run,
            checkpoint,
            percent: this.traits.isStalled?.(task) === true
                ? 0
                : Math.floor(this.clock.getNow() / MS_PER_PERCENT) % 100,
            measurement: 0,
        }));
        const ended = this.unacknowledgedEnds.slice(0, MAX_REPORTED_ENDS);
        this.listedEndNumber = Math.max(this.listedEndNumber, ended.at(-1)?.number ?? 0);
        return { outcome, clockMs: this.getClockTime(), bornMs: this.bornMs, running, ended };
    }

    private checkFence(fence: number): OrderOutcome | undefined {
        if (this.hasCrashed) {
            return OrderOutcome.Unknown;
        }
        if (fence < this.fence) {
            return OrderOutcome.StaleFence;
        }
        this.fence = fence;
        return undefined;
    }

    private getClockTime(): number {
        return Math.floor((this.clock.getNow() - this.startedAtMs) * this.traits.clockRate);
    }

    private hasRoom(task: TaskRef): boolean {
        const { getDemand } = this.traits;
        if (getDemand === undefined) {
            return true;
        }
        const demands = [task, ...[...this.runs.values()].map(run => run.task)].map(getDemand);
        return demands.reduce((sum, { cpuMillis }) => sum + cpuMillis, 0) <= CPU_MILLIS
            && demands.reduce((sum, { memoryMb }) => sum + memoryMb, 0) <= MEMORY_MB;
    }

    private refuseRunsUpTo(task: TaskRef, run: number): void {
        const key = formatTaskKey(task);
        this.refusedRunNumbers.set(key, Math.max(run, this.refusedRunNumbers.get(key) ?? 0));
    }

    private extendLease(untilMs: number): void {
        const limit = this.getClockTime() + MAX_LEASE_MS;
        this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, limit));
        this.cancelExpiry?.();
        this.cancelExpiry = this.clock.schedule(
            (this.leaseUntilMs - this.getClockTime()) / this.traits.clockRate,
            () => {
                this.startCounts.clear();
                [...this.runs.keys()].forEach(key => this.finishRun(key, RunEnd.Lapsed));
            },
        );
    }

    private finishRun(key: string, end: RunEnd): void {
        const run = this.runs.get(key);
        if (run === undefined || this.hasCrashed) {
            return;
        }
        run.cancelEnd();
        this.runs.delete(key);
        this.refuseRunsUpTo(run.task, run.run);
        this.lastEndNumber++;
        if (end === RunEnd.Failed && !this.invariantChecker.isDoneAcknowledged(run.task)) {
            this.countedFailures.add(this.lastEndNumber);
        }
        this.startCounts.set(this.lastEndNumber, this.invariantChecker.countStarts(run.task));
        this.unacknowledgedEnds.push({
            number: this.lastEndNumber,
            task: run.task,
            run: run.run,
            end,
            checkpoint: run.checkpoint,
        });
        this.invariantChecker.noteEnd(run.task, this.id, end === RunEnd.Done, end === RunEnd.Failed);
        this.waiters.forEach(wake => wake());
    }

    private waitForEnd(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                this.waiters.delete(wake);
                cancel();
                resolve();
            };
            const cancel = this.clock.schedule(waitMs, wake);
            this.waiters.add(wake);
        });
    }
}

function formatRunKey(task: TaskRef, run: number): string {
    return `${formatTaskKey(task)}#${run}`;
}
