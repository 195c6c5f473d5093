import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import type { TaskRef } from "@sardinestage/describe-work";
import { formatTaskKey } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { limits } from "../limits.js";
import type { AdviceCache } from "../planning/adviceCache.js";
import { computeLeaseLength } from "../renewals/computeLeaseLength.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { StartPacer } from "./startPacer.js";

/** Pause of starts to a worker that refused one because it lacked capacity, in milliseconds. */
const NO_CAPACITY_PAUSE_MS = 300;
/** Pause of starts to a worker that answered as unhealthy or as another instance, in milliseconds. */
const UNHEALTHY_PAUSE_MS = 700;
/** Pause before a stop order is repeated that got no answer or reached an unhealthy worker, in milliseconds. */
const STOP_RETRY_MS = 300;

/** Callbacks into the coordinator. */
interface OrderHandlers {
    /** Called when a run certainly didn't start, because its worker refused it or its start wasn't sent. */
    readonly handleNotStarted: (task: Task, worker: TrackedWorker, wasSent: boolean) => void;
    /** Called when a worker has accepted a start. */
    readonly handleStarted: (worker: TrackedWorker) => void;
    /** Called when the outcome of a start has become known. */
    readonly handleStartSettled: () => void;
    /** Whether the coordinator has closed, after which no order is sent. */
    readonly isClosed: () => boolean;
    /** The advice service's tickets for tasks on workers. */
    readonly tickets: Pick<AdviceCache, "getTicket" | "dropTicket">;
}

/** Sends start and stop orders to workers, repeats unanswered stops and applies the outcomes to the tasks. */
export class OrderSender {
    private readonly pacer: StartPacer;
    /** The number of starts that are under way, without an outcome. */
    startsUnderWay = 0;

    constructor(private readonly parts: CoordinatorParts, private readonly handlers: OrderHandlers) {
        this.pacer = new StartPacer(parts.clock, parts.getLoopDelay);
    }

    /** The number of starts that wait in the pacer to be sent. */
    get waitingStartCount(): number {
        return this.pacer.waitingCount;
    }

    /** Queues the start of a task's newest run. A worker gets at most `limits.maxConcurrentStarts` starts at once. */
    sendStart(task: Task, worker: TrackedWorker): void {
        const { run } = task;
        task.isStartQueued = true;
        const send = () => {
            worker.startsUnderWay++;
            this.pacer.add(() => {
                this.startsUnderWay++;
                void this.callStart(task, run, worker).finally(() => {
                    this.startsUnderWay--;
                    worker.startsUnderWay--;
                    worker.waitingStarts.shift()?.();
                    this.handlers.handleStartSettled();
                });
            });
        };
        if (worker.startsUnderWay < limits.maxConcurrentStarts) {
            send();
        }
        else {
            worker.waitingStarts.push(send);
        }
    }

    /** Stops a task's newest run. The worker reports the end of the run with a later lease renewal. */
    sendStop(task: Task, worker: TrackedWorker, reason: string): void {
        if (task.phase === TaskPhase.Stopping) {
            return;
        }
        const { run, ref } = task;
        task.phase = TaskPhase.Stopping;
        this.parts.metrics.count("stops_total", reason);
        this.parts.logger.info("stop-order", { task: formatTaskKey(ref), run, worker: worker.entry.id, reason });
        const isWanted = () => task.phase === TaskPhase.Stopping && task.run === run && worker.tasks.has(task);
        void this.sendStopUntilAnswered(ref, run, worker, isWanted).then(wasAnswered => {
            if (wasAnswered && isWanted()) {
                task.orderSettledAtMs = this.parts.clock.getNow();
            }
        });
    }

    /** Stops a run that no task needs. The order isn't repeated. */
    sendStrayStop(ref: TaskRef, run: number, worker: TrackedWorker): void {
        this.parts.metrics.count("stops_total", "stray");
        this.parts.logger.warn("stop-order", {
            task: formatTaskKey(ref),
            run,
            worker: worker.entry.id,
            reason: "stray",
        });
        const key = `${formatTaskKey(ref)}#${run}`;
        if (worker.stoppingStrays.has(key)) {
            return;
        }
        worker.stoppingStrays.add(key);
        void worker.stopCalls.run(() => this.parts.workers.stop(worker.entry, ref, run, worker.life.fence))
            .finally(() => worker.stoppingStrays.delete(key));
    }

    /** Cancels a start that got no answer, so that the worker can't carry it out late. */
    cancelUnansweredStart(task: Task, worker: TrackedWorker): void {
        this.sendStop(task, worker, "start-unanswered");
    }

    private async callStart(task: Task, run: number, worker: TrackedWorker): Promise<void> {
        const { clock, rules, workers, metrics } = this.parts;
        if (this.handlers.isClosed() || task.run !== run || task.phase !== TaskPhase.Ordered) {
            if (task.run === run && task.phase === TaskPhase.Stopping) {
                // The task was stopped before its start was sent, so nothing runs on the worker.
                task.orderSettledAtMs = clock.getNow();
            }
            return;
        }
        const isHeard = worker.isLifeReported && worker.missedRenewals === 0 && !worker.hasUnansweredStart;
        if (!this.parts.hasAuthority() || !isHeard) {
            // A successor may have the worker's tasks started elsewhere, or the worker has gone or restarted meanwhile.
            this.handleRefusal(task, worker, OrderOutcome.Unsent);
            return;
        }
        if (worker.isEvacuated) {
            // The evacuation has become known since the start was planned.
            metrics.count("starts_held_back_total", "evacuated");
            this.handleRefusal(task, worker, OrderOutcome.Unsent);
            return;
        }
        const ticket = this.handlers.tickets.getTicket(task, worker.entry.id);
        if (ticket === "" && task.step.occurrence.job.queue.advice !== undefined) {
            // The ticket has expired since the start was planned, so that the worker would refuse it.
            metrics.count("starts_held_back_total", "ticket");
            this.handleRefusal(task, worker, OrderOutcome.Unsent);
            return;
        }
        const sentAtMs = clock.getNow();
        const leaseMs = computeLeaseLength(rules.leaseMs, this.parts.getAuthorityAge());
        const leaseUntilMs = Math.floor(worker.estimateClock(sentAtMs) + leaseMs);
        worker.leaseUntilMs = Math.max(worker.leaseUntilMs, leaseUntilMs);
        worker.noteStart(sentAtMs, rules.maxLeaseMs);
        const fence = worker.life.noteStartSent();
        task.orderFence = fence;
        task.isStartQueued = false;
        task.isStartUnderWay = true;
        const outcome = await workers.start(worker.entry, {
            task: task.ref,
            run,
            payload: task.step.occurrence.job.spec.payload,
            leaseUntilMs,
            fence,
            checkpoint: task.checkpoint,
            ticket,
        });
        worker.noteStart(clock.getNow(), rules.maxLeaseMs);
        metrics.recordDuration("start_call", clock.getNow() - sentAtMs);
        metrics.count("starts_total", OrderOutcome[outcome]);
        if (outcome === OrderOutcome.Unknown) {
            worker.startUnansweredAtMs = clock.getNow();
            const tookMs = Math.round(clock.getNow() - sentAtMs);
            const fields = { task: formatTaskKey(task.ref), run, worker: worker.entry.id, tookMs };
            this.parts.logger.warn("start-unanswered", fields);
        }
        const started = findStarted(task, run, worker);
        if (started !== undefined) {
            started.isStartUnderWay = false;
            this.applyStartOutcome(started, worker, outcome, fence);
        }
    }

    private applyStartOutcome(task: Task, worker: TrackedWorker, outcome: OrderOutcome, fence: number): void {
        const nowMs = this.parts.clock.getNow();
        switch (outcome) {
            case OrderOutcome.Accepted:
                task.orderSettledAtMs = Math.min(task.orderSettledAtMs, nowMs);
                this.handlers.handleStarted(worker);
                return;
            case OrderOutcome.Unknown:
                task.isStartUnconfirmed = true;
                return;
            case OrderOutcome.RunEnded:
                // The next report tells whether the run was only prevented, or has ended there.
                task.orderSettledAtMs = nowMs;
                return;
            case OrderOutcome.StaleFence:
                if (fence === worker.life.fence) {
                    this.parts.onTermLost("start:stale-fence");
                    return;
                }
                break;
            case OrderOutcome.TicketInvalid:
                this.handlers.tickets.dropTicket(task, worker.entry.id);
                break;
            case OrderOutcome.NoRoom:
                worker.blockedUntilMs = nowMs + NO_CAPACITY_PAUSE_MS;
                break;
            case OrderOutcome.Unhealthy:
            case OrderOutcome.OtherInstance:
                worker.blockedUntilMs = nowMs + UNHEALTHY_PAUSE_MS;
                break;
        }
        this.handleRefusal(task, worker, outcome);
    }

    private handleRefusal(task: Task, worker: TrackedWorker, outcome: OrderOutcome): void {
        this.parts.logger.warn("run-refused", {
            task: formatTaskKey(task.ref),
            run: task.run,
            worker: worker.entry.id,
            outcome: OrderOutcome[outcome],
        });
        this.handlers.handleNotStarted(task, worker, outcome !== OrderOutcome.Unsent);
    }

    private async sendStopUntilAnswered(
        ref: TaskRef,
        run: number,
        worker: TrackedWorker,
        isWanted: () => boolean,
    ): Promise<boolean> {
        const { workers, clock } = this.parts;
        while (isWanted() && !this.handlers.isClosed()) {
            let { fence } = worker.life;
            const outcome = await worker.stopCalls.run(() => {
                fence = worker.life.fence;
                return isWanted() && !this.handlers.isClosed()
                    ? workers.stop(worker.entry, ref, run, fence)
                    : Promise.resolve(OrderOutcome.Unsent);
            });
            if (outcome === OrderOutcome.Unsent) {
                return false;
            }
            if (outcome === OrderOutcome.StaleFence && fence === worker.life.fence) {
                this.parts.onTermLost("stop:stale-fence");
                return false;
            }
            if (
                outcome !== OrderOutcome.StaleFence && outcome !== OrderOutcome.Unknown
                && outcome !== OrderOutcome.Unhealthy
            ) {
                return true;
            }
            await waitFor(clock, STOP_RETRY_MS);
        }
        return false;
    }
}

/** Finds the object that stands for a run: another than the task's own if a copy ended as done meanwhile. */
function findStarted(task: Task, run: number, worker: TrackedWorker): Task | undefined {
    if (task.phase === TaskPhase.Done) {
        return [...worker.tasks].find(({ original, run: other }) => original === task && other === run);
    }
    return task.run === run && task.isActive ? task : undefined;
}
