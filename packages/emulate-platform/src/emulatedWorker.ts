import type { Clock, EndedRun, LeaseRenewal, LeaseReport, StartOrder } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import type { TaskRef, WorkerEntry } from "@sardinestage/describe-work";
import { formatTaskKey, RunEnd, WorkerState } from "@sardinestage/describe-work";
import type { RunWitness } from "./runWitness.js";

/** The longest lease that a worker grants, in milliseconds. */
const MAX_LEASE_MS = 6000;
/** How long a run takes to stop, in milliseconds. */
const STOP_MS = 300;
/** Time in which a run gets on by a percent, in milliseconds; 100 of these are no usual time between two looks. */
const PERCENT_MS = 13;
const CPU_MILLIS = 16_000;
const MEMORY_MB = 64_000;

/** A run at work. */
interface Run {
    readonly task: TaskRef;
    readonly run: number;
    readonly checkpoint: string;
    readonly cancelEnd: () => void;
    isStopping: boolean;
}

/** One life of a worker, with its own clock, leases and list of ends. */
export class EmulatedWorker {
    private readonly runs = new Map<string, Run>();
    private ended: EndedRun[] = [];
    private readonly highestRuns = new Map<string, number>();
    private readonly waiters = new Set<() => void>();
    private fence = 0;
    private endNumber = 0;
    private leaseUntilMs = 0;
    private cancelLapse: (() => void) | undefined;
    private isDead = false;
    readonly bornMs: number;
    private readonly bornAtMs: number;
    /** No call reaches it. */
    isCut = false;

    /**
     * @param id Its name in the list.
     * @param clock Of the test.
     * @param witness Sees its runs.
     * @param getDuration How long a run takes, in milliseconds; negative for one that fails after that time.
     */
    constructor(
        readonly id: string,
        private readonly clock: Clock,
        private readonly witness: RunWitness,
        private readonly getDuration: (task: TaskRef, run: number) => number,
    ) {
        this.bornMs = Math.floor(clock.getWallTime());
        this.bornAtMs = clock.getNow();
    }

    /** Its entry in the list. */
    describeEntry(): WorkerEntry {
        return {
            id: this.id,
            bornMs: this.bornMs,
            service: "service",
            address: this.id,
            domain: "here",
            state: WorkerState.Ready,
            capacity: { cpuMillis: CPU_MILLIS, memoryMb: MEMORY_MB, accelerators: 0 },
            labels: ["kind", "rack"],
            rack: "rack",
            remainingMs: 0,
        };
    }

    /** Ends it and everything on it, without a word. */
    stopAll(): void {
        this.isDead = true;
        this.cancelLapse?.();
        for (const run of this.runs.values()) {
            run.cancelEnd();
            this.witness.noteEnd(run.task, false);
        }
        this.runs.clear();
    }

    /** Starts a run. */
    start(order: StartOrder): OrderOutcome {
        const refusal = this.checkFence(order.fence);
        if (refusal !== undefined) {
            return refusal;
        }
        const key = formatTaskKey(order.task);
        if (this.runs.get(key)?.run === order.run) {
            return OrderOutcome.Accepted;
        }
        if (order.leaseUntilMs <= this.getClock()) {
            return OrderOutcome.LeaseOver;
        }
        this.extendLease(order.leaseUntilMs);
        if (order.run <= (this.highestRuns.get(key) ?? 0) || this.runs.has(key)) {
            return OrderOutcome.RunEnded;
        }
        const duration = this.getDuration(order.task, order.run);
        const end = duration < 0 ? RunEnd.Failed : RunEnd.Done;
        const cancelEnd = this.clock.schedule(Math.abs(duration), () => this.finishRun(key, end));
        this.runs.set(key, {
            task: order.task,
            run: order.run,
            checkpoint: order.checkpoint,
            cancelEnd,
            isStopping: false,
        });
        this.highestRuns.set(key, order.run);
        this.witness.noteStart(order.task, this.id);
        return OrderOutcome.Accepted;
    }

    /** Stops a run, or sees to it that it never starts. */
    stop(task: TaskRef, run: number, fence: number): OrderOutcome {
        const refusal = this.checkFence(fence);
        if (refusal !== undefined) {
            return refusal;
        }
        const key = formatTaskKey(task);
        const running = this.runs.get(key);
        if (running !== undefined && running.run === run && !running.isStopping) {
            running.isStopping = true;
            running.cancelEnd();
            this.clock.schedule(STOP_MS, () => this.finishRun(key, RunEnd.Stopped));
        }
        this.highestRuns.set(key, Math.max(run, this.highestRuns.get(key) ?? 0));
        return OrderOutcome.Accepted;
    }

    /** Extends the lease, forgets acknowledged ends and lists what runs. */
    async hold(order: LeaseRenewal): Promise<LeaseReport> {
        const refusal = this.checkFence(order.fence);
        if (refusal !== undefined) {
            return this.buildAnswer(refusal);
        }
        if (order.leaseUntilMs !== undefined) {
            this.extendLease(order.leaseUntilMs);
        }
        for (const row of this.ended) {
            if (row.number <= order.lastRecordedEnd && row.end === RunEnd.Done) {
                this.witness.noteAcknowledged(row.task);
            }
        }
        this.ended = this.ended.filter(row => row.number > order.lastRecordedEnd);
        if (order.waitMs > 0 && this.ended.length === 0) {
            await this.waitForEnd(order.waitMs);
        }
        return this.buildAnswer(OrderOutcome.Accepted);
    }

    private buildAnswer(outcome: OrderOutcome): LeaseReport {
        const running = [...this.runs.values()].map(({ task, run, checkpoint }) => ({
            task,
            run,
            checkpoint,
            percent: Math.floor(this.clock.getNow() / PERCENT_MS) % 100,
            measurement: 0,
        }));
        return { outcome, clockMs: this.getClock(), bornMs: this.bornMs, running, ended: [...this.ended] };
    }

    private checkFence(fence: number): OrderOutcome | undefined {
        if (this.isDead) {
            return OrderOutcome.Unknown;
        }
        if (fence < this.fence) {
            return OrderOutcome.StaleFence;
        }
        this.fence = fence;
        return undefined;
    }

    private getClock(): number {
        return Math.floor(this.clock.getNow() - this.bornAtMs);
    }

    private extendLease(untilMs: number): void {
        const limit = this.getClock() + MAX_LEASE_MS;
        this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, limit));
        this.cancelLapse?.();
        this.cancelLapse = this.clock.schedule(this.leaseUntilMs - this.getClock(), () => {
            [...this.runs.keys()].forEach(key => this.finishRun(key, RunEnd.Lapsed));
        });
    }

    private finishRun(key: string, end: RunEnd): void {
        const run = this.runs.get(key);
        if (run === undefined || this.isDead) {
            return;
        }
        run.cancelEnd();
        this.runs.delete(key);
        this.endNumber++;
        this.ended.push({
            number: this.endNumber,
            task: run.task,
            run: run.run,
            end,
            checkpoint: run.checkpoint,
        });
        this.witness.noteEnd(run.task, end === RunEnd.Done);
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
