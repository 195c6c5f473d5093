import type { AttemptRef, WorkerPort, WorkerReport } from "@sardinestage/call-platform";
import type { TaskEntry } from "@sardinestage/fold-tasks";
import { LogbookEvent, TaskRecordKind } from "@sardinestage/fold-tasks";
import type { ReplicaEndpoint } from "@sardinestage/grant-connections";
import { computeAuthorityMoment } from "@sardinestage/hold-workers";
import type { WorkerOrder } from "@sardinestage/plan-worker-orders";
import { OrderKind, planWorkerOrders } from "@sardinestage/plan-worker-orders";
import type { VmRecord } from "@sardinestage/types";
import { RunState, TaskPhase } from "@sardinestage/types";
import { applyOrder } from "./applyOrder.js";
import { OpenStarts } from "./openStarts.js";
import { planWorkerReactions } from "./planWorkerReactions.js";
import type { WorkerContext } from "./workerContext.js";
import { WorkerLease } from "./workerLease.js";

/**
 * Shortest time in milliseconds that this process keeps a worker's lease before it hands the worker over to the
 * scheduler that ranks first.
 */
const MIN_HOLD_MS = 10_000;
const NO_RESOURCES = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };

/**
 * Controls one worker. Holds the worker's lease, renews the leases of its tasks, and sends the orders that bring the
 * running tasks in line with the log.
 */
export class WorkerControl {
    private readonly port: WorkerPort;
    private readonly lease: WorkerLease;
    private readonly openStarts = new OpenStarts();
    private report: WorkerReport | undefined;
    private acknowledged: readonly AttemptRef[] = [];
    private authorityConfirmedAtMs = Number.NEGATIVE_INFINITY;
    private heldSinceMs = 0;
    private lastReactionAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly context: WorkerContext, readonly vm: VmRecord) {
        const { holder, settings, now } = context;
        this.port = context.createPort(vm);
        this.lease = new WorkerLease({ port: this.port, holder, ttlMs: settings.leases.workerTtlMs, now });
    }

    /** Whether this process has the worker's lease and the log records this process as its holder. */
    isHeld(): boolean {
        const token = this.lease.getToken();
        return token !== undefined && this.context.stream.ledger.getHold(this.vm.vm)?.token === token;
    }

    /** The token of the worker's lease, or `undefined` when this process has no valid lease. */
    getToken(): number | undefined {
        return this.lease.getToken();
    }

    /**
     * When the first call without an answer was sent, in monotonic milliseconds; `undefined` when the worker answers.
     */
    getSilentSinceMs(): number | undefined {
        return this.lease.getSilentSinceMs();
    }

    /**
     * Whether this process may renew task leases and start tasks. Authority lasts a bounded time from the last moment
     * at which no condemnation of the worker can have gone unnoticed; see `computeAuthorityMoment`.
     */
    hasAuthority(): boolean {
        const { authorityMs, clockMarginMs } = this.context.settings.leases;
        return this.context.now() < this.authorityConfirmedAtMs + authorityMs - clockMarginMs;
    }

    /** The services whose replicas on this worker accept requests, with how many requests they process at once. */
    listEndpoints(): ReplicaEndpoint[] {
        const { vm, address, servePort } = this.vm;
        if (this.lease.getToken() === undefined || servePort === undefined || this.context.isLeaving(vm)) {
            return [];
        }
        const running = this.report?.tasks.filter(task => task.state === RunState.Running) ?? [];
        const replicas = new Map<string, number>();
        const stopping = new Set<string>();
        for (const { spec: { taskId, service } } of running) {
            if (service !== undefined && this.findBound(taskId)?.cancelRequested === false) {
                replicas.set(service, (replicas.get(service) ?? 0) + 1);
            }
            else if (service !== undefined) {
                stopping.add(service);
            }
        }
        // The worker itself chooses the replica for a request. To stop one replica of a service, no request for that
        // service may be sent to the worker.
        stopping.forEach(service => replicas.delete(service));
        return [...replicas].map(([service, count]) => {
            const concurrency = count * this.context.getConcurrency(service);
            return { worker: vm, service, address, port: servePort, concurrency };
        });
    }

    /** Runs one round: renews the lease, processes the worker's report, and sends the orders that follow from it. */
    async run(): Promise<void> {
        const token = this.lease.getToken() ?? await this.tryAcquire();
        if (token === undefined) {
            return;
        }
        this.authorityConfirmedAtMs = Math.max(this.authorityConfirmedAtMs, this.computeAuthority());
        const taskTtlMs = this.hasAuthority() ? this.context.settings.leases.taskTtlMs : undefined;
        const report = await this.lease.renew(token, { taskTtlMs, acknowledged: this.acknowledged });
        if (report === undefined) {
            this.noteLeaseLost();
            return;
        }
        this.recordReport(report);
        this.appendHold(token);
        this.refuseCondemnation();
        const needsNewToken = await this.applyPlan(token, report);
        if (this.isHandoverDue()) {
            await this.release();
        }
        else if (needsNewToken) {
            await this.acquireNewToken(token, report);
        }
    }

    /** Releases the worker's lease. Its tasks keep running under their own leases. */
    async release(): Promise<void> {
        this.context.grants.closeWorker(this.vm.vm);
        await this.lease.release();
    }

    private async tryAcquire(): Promise<number | undefined> {
        const { members, stream, grants, now, metrics, logger } = this.context;
        const worker = this.vm.vm;
        if (members.computeHoldRank(worker) > 0 || !stream.isLoaded()) {
            return undefined;
        }
        const token = await this.lease.acquire();
        if (token === undefined) {
            return undefined;
        }
        const takenOver = stream.ledger.getHold(worker) !== undefined || !stream.isFresh();
        metrics.count("worker_leases_acquired_total", takenOver ? "taken-over" : "first");
        logger.info("worker-lease-acquired", { worker, token });
        grants.openWorker(worker, token, this.vm.connections ?? 0, takenOver, now());
        this.heldSinceMs = now();
        this.openStarts.resetForToken(token);
        this.report = undefined;
        this.acknowledged = [];
        return token;
    }

    /**
     * Has the worker refuse the starts under this token that it hasn't carried out. What depends on them is planned
     * again from its first report under the new token.
     */
    private async acquireNewToken(formerToken: number, report: WorkerReport): Promise<void> {
        const { logger, grants } = this.context;
        const worker = this.vm.vm;
        const openStarts = this.openStarts.getCount();
        await this.lease.release();
        const token = await this.tryAcquire();
        logger.info("worker-token-raised", { worker, formerToken, token, openStarts });
        if (token === undefined) {
            grants.closeWorker(worker);
            return;
        }
        // The replicas of the last report still run, and entries go on using them.
        this.report = report;
        this.appendHold(token);
    }

    /** Repeated every round until the hold record is read back, since the appender drops records in a long outage. */
    private appendHold(token: number): void {
        if (!this.isHeld()) {
            const { stream, holder } = this.context;
            const worker = this.vm.vm;
            stream.append({
                id: `hold:${worker}:${token}`,
                data: { kind: TaskRecordKind.Hold, worker, token, holder },
            });
        }
    }

    private computeAuthority(): number {
        const { stream, members, now } = this.context;
        return computeAuthorityMoment({
            isCondemned: stream.ledger.getCondemnation(this.vm.vm) !== undefined,
            logFreshAtMs: stream.getFreshAtMs(),
            peerConfirmedAtMs: members.listPeerConfirmations(this.vm.vm),
        }, now());
    }

    private recordReport(report: WorkerReport): void {
        const { behaviour, now } = this.context;
        const worker = this.vm.vm;
        const previouslyEnded = new Set(
            this.report?.tasks.filter(task => task.state !== RunState.Running).map(describeAttempt),
        );
        for (const task of report.tasks) {
            const ended = task.state === RunState.Succeeded || task.state === RunState.Failed;
            if (ended && !previouslyEnded.has(describeAttempt(task))) {
                behaviour.health.recordEnd(worker, task.state === RunState.Succeeded, now());
            }
        }
        behaviour.learnReport(worker, report);
        this.openStarts.acceptReport(report.tasks);
        this.report = report;
    }

    /** Contests a condemnation of this worker. The worker answers this process, so its tasks must not be released. */
    private refuseCondemnation(): void {
        const { stream } = this.context;
        const worker = this.vm.vm;
        const condemnation = stream.ledger.getCondemnation(worker);
        if (condemnation !== undefined) {
            const { condemnId } = condemnation;
            stream.append({ id: `contest:${condemnId}`, data: { kind: TaskRecordKind.Contest, worker, condemnId } });
        }
    }

    /** Returns whether the plan needs a new token before the rest of it can be carried out. */
    private async applyPlan(token: number, report: WorkerReport): Promise<boolean> {
        const { stream, behaviour, settings, isLeaving, now } = this.context;
        const worker = this.vm.vm;
        const capacity = this.vm.capacity ?? NO_RESOURCES;
        const bound = this.listBound();
        const estimateSize = behaviour.estimateSize.bind(behaviour);
        const plan = planWorkerOrders({
            worker,
            token,
            capacity,
            tasks: report.tasks,
            bound,
            findEntry: taskId => stream.ledger.getTask(taskId),
            mayStart: this.isHeld() && this.hasAuthority(),
            isPending: recordId => stream.isPending(recordId),
            findOpenStart: taskId => this.openStarts.findAttempt(taskId),
            isLogFresh: stream.isFresh(),
            isLeaving: isLeaving(worker),
            hasCapacityElsewhere: this.context.hasCapacityElsewhere,
            isIdle: taskId => this.isIdle(taskId),
            maxFailures: settings.placement.maxFailures,
            estimateSize,
            reactions: planWorkerReactions({
                context: this.context,
                worker,
                capacity,
                report,
                bound,
                isSettled: now() - this.lastReactionAtMs >= settings.reaction.settleMs,
            }),
        });
        plan.records.forEach(record => stream.append(record));
        this.acknowledged = plan.acknowledged;
        await Promise.all(plan.orders.map(order => this.sendOrder(token, order)));
        return plan.needsNewToken;
    }

    private async sendOrder(token: number, order: WorkerOrder): Promise<void> {
        const { stream, metrics, settings, evictions, now } = this.context;
        const applied = await applyOrder(order, { port: this.port, token, taskTtlMs: settings.leases.taskTtlMs });
        if (order.kind === OrderKind.Start) {
            this.openStarts.noteStart(order, applied.ok ? undefined : applied.val.kind);
        }
        if (applied.err) {
            metrics.count("orders_failed_total", applied.val.kind);
            return;
        }
        metrics.count("orders_total", order.kind);
        stream.appendEvent(applied.val, order, this.vm.vm, order.kind === OrderKind.Start ? "" : order.reason);
        if (applied.val === LogbookEvent.Evicted) {
            evictions.recordEviction(now());
        }
        if (order.kind === OrderKind.Throttle || order.kind === OrderKind.Evict) {
            this.lastReactionAtMs = now();
        }
    }

    private listBound(): TaskEntry[] {
        const { ledger } = this.context.stream;
        return [...ledger.listBound(this.vm.vm)].flatMap(taskId => ledger.getTask(taskId) ?? []);
    }

    private findBound(taskId: string): TaskEntry | undefined {
        const entry = this.context.stream.ledger.getTask(taskId);
        return entry?.phase === TaskPhase.Bound && entry.worker === this.vm.vm ? entry : undefined;
    }

    /** Whether no request can be open at a replica. Always true for batch tasks, which take no requests. */
    private isIdle(taskId: string): boolean {
        const service = this.report?.tasks.find(task => task.taskId === taskId)?.spec.service;
        if (service === undefined) {
            return true;
        }
        const { grants, now } = this.context;
        return !grants.hasEarlierGrants(this.vm.vm, now()) && grants.getOutstanding(this.vm.vm, service) === 0;
    }

    private isHandoverDue(): boolean {
        const { members, now } = this.context;
        return now() - this.heldSinceMs > MIN_HOLD_MS && members.computeHoldRank(this.vm.vm) > 0;
    }

    private noteLeaseLost(): void {
        if (this.lease.getToken() === undefined) {
            this.context.grants.closeWorker(this.vm.vm);
            this.context.metrics.count("worker_leases_lost_total", "lapsed");
            this.context.logger.warn("worker-lease-lost", { worker: this.vm.vm });
        }
    }
}

function describeAttempt(task: { taskId: string; attempt: number }): string {
    return `${task.taskId}#${task.attempt}`;
}
