import type { AttemptRef, RenewOrder, StartOrder, WorkerReport } from "@sardinestage/call-platform";
import { RunState } from "@sardinestage/types";
import type { WorkerTask } from "@sardinestage/types";
import type { OwnershipOracle } from "./ownershipOracle.js";

type Attempt = { -readonly [Key in keyof WorkerTask]: WorkerTask[Key] } & { leaseUntilMs: number; endsAtMs: number };

/** A worker on a virtual clock. */
export class FakeWorker {
    isDead = false;
    private token = 0;
    private holder = "";
    private leaseUntilMs = 0;
    private readonly tasks = new Map<string, Attempt>();

    constructor(
        readonly name: string,
        private readonly clock: { nowMs: number },
        private readonly oracle: OwnershipOracle,
    ) {}

    /** Expires task leases and completes tasks that are due. */
    run(): void {
        for (const task of this.listRunning()) {
            if (task.leaseUntilMs <= this.clock.nowMs) {
                task.state = RunState.Lapsed;
                this.oracle.recordEnd(task.taskId, this.name);
            }
            else if (task.endsAtMs <= this.clock.nowMs) {
                task.state = RunState.Succeeded;
                this.oracle.recordCompletion(task.taskId, this.name);
            }
        }
    }

    /** How many tasks run. */
    countRunning(): number {
        return this.listRunning().length;
    }

    /** Kills the worker and every task that runs on it. */
    stop(): void {
        this.listRunning().forEach(task => this.oracle.recordEnd(task.taskId, this.name));
        this.tasks.clear();
        this.isDead = true;
    }

    /** Returns the lease token, or `undefined` while another holder has the lease. */
    acquireLease(holder: string, ttlMs: number): number | undefined {
        const isFree = this.clock.nowMs >= this.leaseUntilMs;
        if (!isFree && this.holder !== holder) {
            return undefined;
        }
        this.token += isFree ? 1 : 0;
        this.holder = holder;
        this.leaseUntilMs = this.clock.nowMs + ttlMs;
        return this.token;
    }

    /** Whether an order with this token is accepted. */
    checkToken(token: number): boolean {
        return token === this.token && this.clock.nowMs < this.leaseUntilMs;
    }

    renewLease(order: RenewOrder): WorkerReport {
        this.leaseUntilMs = this.clock.nowMs + order.ttlMs;
        for (const { taskId, attempt } of order.acknowledged) {
            const task = this.tasks.get(taskId);
            if (task !== undefined && task.attempt <= attempt && task.state !== RunState.Running) {
                this.tasks.delete(taskId);
            }
        }
        if (order.taskTtlMs !== undefined) {
            for (const task of this.listRunning()) {
                task.leaseUntilMs = this.clock.nowMs + order.taskTtlMs;
            }
        }
        return { tasks: [...this.tasks.values()].map(task => ({ ...task })), usage: [] };
    }

    releaseLease(): void {
        this.leaseUntilMs = 0;
    }

    startTask(order: StartOrder): void {
        const known = this.tasks.get(order.taskId);
        if (known !== undefined && (known.attempt >= order.attempt || known.state === RunState.Running)) {
            return;
        }
        const { taskId, generation, attempt, spec, checkpoint, taskTtlMs } = order;
        const { nowMs } = this.clock;
        this.tasks.set(taskId, {
            taskId,
            generation,
            attempt,
            spec,
            checkpoint,
            state: RunState.Running,
            progress: 0,
            throttle: 0,
            leaseUntilMs: nowMs + taskTtlMs,
            endsAtMs: nowMs + spec.expectedRunMs,
        });
        this.oracle.recordStart(taskId, attempt, this.name);
    }

    stopTask({ taskId, attempt }: AttemptRef): void {
        const task = this.tasks.get(taskId);
        if (task?.attempt === attempt && task.state === RunState.Running) {
            task.state = RunState.Stopped;
            this.oracle.recordEnd(taskId, this.name);
        }
    }

    private listRunning(): Attempt[] {
        return [...this.tasks.values()].filter(task => task.state === RunState.Running);
    }
}
