import type { RenewOrder, StartOrder } from "@sardinestage/call-platform";
import type { Resources, TaskSpec, TaskUsage } from "@sardinestage/types";
import { RunState, WorkKind } from "@sardinestage/types";
import type { JsonAnswer } from "./jsonAnswer.js";
import type { Recorder } from "./recorder.js";
import { StandInTask } from "./standInTask.js";

/**
 * Extra run time that `other` causes for `victim` on the same worker, as a share of the time that `victim` takes alone.
 * The scheduler can't read this value, only its effect on reported latency and progress.
 */
type Interference = (victim: TaskSpec, other: TaskSpec) => number;

/** Options of a stand-in worker. */
interface StandInWorkerOptions {
    readonly name: string;
    readonly capacity: Resources;
    readonly connections: number;
    readonly usageLagMs: number;
    readonly recorder: Recorder;
    readonly interference: Interference;
}

/** Fields common to orders on an attempt; `token` is the fencing token of the worker lease. */
type FencedOrder = { token: number; taskId: string; attempt: number };

const OK: JsonAnswer = { status: 200, body: {} };

/** Simulates a worker: runs tasks under leases, reports usage with a lag, checkpoints, throttles and stops tasks. */
export class StandInWorker {
    /** Whether every attempt fails at the next tick after its start. */
    failsAllAttempts = false;
    /** Requests that the worker's target server has open. */
    openRequests = 0;
    private token = 0;
    private holder = "";
    private leaseUntilMs = 0;
    private readonly tasks = new Map<string, StandInTask>();
    private readonly usageHistory: { atMs: number; usage: TaskUsage[] }[] = [];

    constructor(readonly options: StandInWorkerOptions) {}

    /**
     * Answers one HTTP call of the control interface. An order is refused with status 410 if its token is stale or the
     * worker lease has expired.
     */
    handleCall(path: string, body: unknown): JsonAnswer {
        if (path === "/lease") {
            return this.acquireLease(body as { holder: string; ttlMs: number });
        }
        if (typeof body !== "object") {
            return { status: 400, body: { reason: "no order" } };
        }
        const order = body as FencedOrder;
        if (order.token !== this.token || performance.now() >= this.leaseUntilMs) {
            return { status: 410, body: { reason: "stale token" } };
        }
        switch (path) {
            case "/renew":
                return this.renewLease(body as RenewOrder);
            case "/release":
                this.leaseUntilMs = 0;
                return OK;
            case "/start":
                return this.startTask(body as StartOrder);
            default:
                return this.updateTask(path, body as FencedOrder & { share: number });
        }
    }

    /** Advances running tasks by the elapsed time and ends those that expire, fail or succeed. */
    run(elapsedMs: number): void {
        const nowMs = performance.now();
        for (const task of this.tasks.values()) {
            if (task.state !== RunState.Running) {
                continue;
            }
            task.run(elapsedMs, 1 / this.computeSlowdown(task));
            if (task.leaseUntilMs <= nowMs) {
                this.options.recorder.expirations++;
                this.finishTask(task, RunState.Lapsed);
            }
            else if (this.failsAllAttempts || task.model.failsAfterMs !== undefined) {
                this.finishTask(task, RunState.Failed);
            }
            else if (task.progress >= 1) {
                this.finishTask(task, RunState.Succeeded);
                this.options.recorder.recordCompletion(task.spec.taskId);
            }
        }
        this.recordUsage(nowMs);
    }

    /** Drops all tasks and the worker lease, as if the VM had died. */
    reset(): void {
        for (const task of this.tasks.values()) {
            this.options.recorder.recordEnd(this.options.name, task.spec.taskId);
            task.state = RunState.Lapsed;
        }
        this.tasks.clear();
        this.leaseUntilMs = 0;
    }

    /** Finds the running replica of a service that has the fewest open requests. */
    findReplica(service: string): StandInTask | undefined {
        const replicas = [...this.tasks.values()].filter(task =>
            task.spec.service === service && task.state === RunState.Running
        );
        return replicas.sort((a, b) => a.openRequests - b.openRequests)[0];
    }

    /** Lists the tasks that are running. */
    listRunning(): readonly StandInTask[] {
        return [...this.tasks.values()].filter(task => task.state === RunState.Running);
    }

    /** Computes the factor by which other tasks on this worker slow a task down; 1 means as fast as alone. */
    computeSlowdown(victim: StandInTask): number {
        let slowdown = 1;
        for (const other of this.listRunning()) {
            if (other !== victim) {
                slowdown += this.options.interference(victim.spec, other.spec) * (1 - other.throttle);
            }
        }
        return slowdown;
    }

    /** Grants the worker lease; a new holder, or one whose lease has expired, gets a higher fencing token. */
    private acquireLease(body: { holder: string; ttlMs: number }): JsonAnswer {
        const nowMs = performance.now();
        if (nowMs < this.leaseUntilMs && this.holder !== body.holder) {
            return { status: 409, body: { reason: "held" } };
        }
        if (nowMs >= this.leaseUntilMs || this.holder !== body.holder) {
            this.token = Math.max(this.token + 1, Date.now());
        }
        this.holder = body.holder;
        this.leaseUntilMs = nowMs + body.ttlMs;
        return { status: 200, body: { token: this.token } };
    }

    /** Renews the leases, drops acknowledged ended attempts, and reports tasks and lagged usage. */
    private renewLease(order: RenewOrder): JsonAnswer {
        const nowMs = performance.now();
        this.leaseUntilMs = nowMs + order.ttlMs;
        for (const { taskId, attempt } of order.acknowledged) {
            const task = this.tasks.get(taskId);
            if (task !== undefined && task.attempt <= attempt && task.state !== RunState.Running) {
                this.tasks.delete(taskId);
            }
        }
        if (order.taskTtlMs !== undefined) {
            for (const task of this.tasks.values()) {
                task.leaseUntilMs = nowMs + order.taskTtlMs;
            }
        }
        const lagged = this.usageHistory.findLast(entry => entry.atMs <= nowMs - this.options.usageLagMs);
        const tasks = [...this.tasks.values()].map(task => task.describe());
        return { status: 200, body: { tasks, usage: lagged?.usage ?? [] } };
    }

    private startTask(order: StartOrder): JsonAnswer {
        const known = this.tasks.get(order.taskId);
        if (known !== undefined && known.attempt === order.attempt) {
            return OK;
        }
        if (known !== undefined && (known.attempt > order.attempt || known.state === RunState.Running)) {
            return { status: 422, body: { reason: "another attempt" } };
        }
        const { spec, generation, attempt, checkpoint } = order;
        const leaseUntilMs = performance.now() + order.taskTtlMs;
        this.tasks.set(order.taskId, new StandInTask(spec, generation, attempt, leaseUntilMs, checkpoint));
        this.options.recorder.recordStart(this.options.name, spec, attempt);
        this.options.recorder.recordCommitment(this.options.name, this.computeCommitted(), this.options.capacity);
        return OK;
    }

    private updateTask(path: string, order: FencedOrder & { share: number }): JsonAnswer {
        const task = this.tasks.get(order.taskId);
        if (task === undefined || task.attempt !== order.attempt) {
            return { status: 422, body: { reason: "unknown attempt" } };
        }
        switch (path) {
            case "/checkpoint":
                task.checkpoint = String(task.progress);
                return { status: 200, body: { checkpoint: task.checkpoint } };
            case "/throttle":
                task.throttle = order.share;
                return OK;
            case "/stop":
                if (task.state === RunState.Running) {
                    this.options.recorder.stops++;
                    this.finishTask(task, RunState.Stopped);
                }
                return OK;
            default:
                return { status: 404, body: {} };
        }
    }

    private finishTask(task: StandInTask, state: RunState): void {
        task.state = state;
        this.options.recorder.recordEnd(this.options.name, task.spec.taskId);
        if (task.openRequests > 0) {
            this.options.recorder.requestsCutOff += task.openRequests;
        }
    }

    /** Sums the declared sizes of the running tasks. */
    private computeCommitted(): Resources {
        const committed = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };
        for (const { spec } of this.listRunning()) {
            committed.cpuMillis += spec.size.cpuMillis;
            committed.memoryMb += spec.size.memoryMb;
            committed.accelerators += spec.size.accelerators;
            committed.slots += spec.size.slots;
        }
        return committed;
    }

    /** Adds a usage sample at most every 250 ms and keeps the last 100 samples. */
    private recordUsage(nowMs: number): void {
        const last = this.usageHistory[this.usageHistory.length - 1];
        const elapsedMs = nowMs - (last?.atMs ?? nowMs - 1000);
        if (elapsedMs < 250) {
            return;
        }
        this.usageHistory.push({ atMs: nowMs, usage: this.listRunning().map(task => describeUsage(task, elapsedMs)) });
        if (this.usageHistory.length > 100) {
            this.usageHistory.shift();
        }
    }
}

function describeUsage(task: StandInTask, elapsedMs: number): TaskUsage {
    const { spec, model } = task;
    const cpuMillis = (model.trueCpuMillis ?? spec.size.cpuMillis) * (1 - task.throttle);
    const usage = { taskId: spec.taskId, cpuMillis, memoryMb: spec.size.memoryMb };
    if (spec.kind !== WorkKind.LatencyCritical) {
        return usage;
    }
    const { mean, count } = task.takeLatencies();
    return count === 0 ? usage : { ...usage, latencyMs: mean, requestsPerSecond: count / elapsedMs * 1000 };
}
