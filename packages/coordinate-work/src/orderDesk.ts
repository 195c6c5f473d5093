import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import type { TaskRef } from "@sardinestage/describe-work";
import { formatTaskKey } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { limits } from "./limits.js";
import { StartPacer } from "./startPacer.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** No starts for so long at a worker that refused one for want of room, in milliseconds. */
const NO_ROOM_PAUSE_MS = 300;
/** No starts for so long at an unhealthy worker, in milliseconds. */
const UNHEALTHY_PAUSE_MS = 700;
/** Pause before a stop without an answer is repeated, in milliseconds. */
const STOP_RETRY_MS = 300;

/** What an order desk tells the coordinator. */
interface OrderHandlers {
    /** The run certainly didn't start. */
    readonly noteNotStarted: (task: Task, link: TrackedWorker, outcome: OrderOutcome) => void;
    /** A run has started. */
    readonly noteStarted: (link: TrackedWorker) => void;
    readonly isClosed: () => boolean;
    /** The advice service's permission for a task on a worker; empty where none is needed. */
    readonly getTicket: (task: Task, workerId: string) => string;
}

/** Sends orders to workers and settles what became of them. */
export class OrderDesk {
    private readonly pacer: StartPacer;

    constructor(private readonly parts: CoordinatorParts, private readonly handlers: OrderHandlers) {
        this.pacer = new StartPacer(parts.clock, parts.getLoopDelay);
    }

    /** How many starts wait to be sent. */
    get startsWaiting(): number {
        return this.pacer.waitingCount;
    }

    /** Sends the start of a task's newest run in its turn, at most a few at once to one worker. */
    sendStart(task: Task, link: TrackedWorker): void {
        const { run } = task;
        const send = () => {
            link.startsUnderWay++;
            this.pacer.add(() => {
                void this.runStart(task, run, link).finally(() => {
                    link.startsUnderWay--;
                    link.waitingStarts.shift()?.();
                });
            });
        };
        if (link.startsUnderWay < limits.maxConcurrentStarts) {
            send();
        }
        else {
            link.waitingStarts.push(send);
        }
    }

    /** Has a task's newest run stopped; its end comes with the worker's list. */
    sendStop(task: Task, link: TrackedWorker, reason: string): void {
        if (task.phase === TaskPhase.Stopping) {
            return;
        }
        const { run, ref } = task;
        task.phase = TaskPhase.Stopping;
        this.parts.metrics.count("stops_total", reason);
        this.parts.logger.info("stop-order", { task: formatTaskKey(ref), run, worker: link.entry.id, reason });
        const isWanted = () => task.phase === TaskPhase.Stopping && task.run === run && link.tasks.has(task);
        void this.runStop(ref, run, link, isWanted).then(wasAnswered => {
            if (wasAnswered && isWanted()) {
                task.settledAtMs = this.parts.clock.getNow();
            }
        });
    }

    /** Has a run stopped that no task needs. */
    sendStrayStop(ref: TaskRef, run: number, link: TrackedWorker): void {
        this.parts.metrics.count("stops_total", "stray");
        this.parts.logger.warn("stop-order", { task: formatTaskKey(ref), run, worker: link.entry.id, reason: "stray" });
        const { id, address } = link.entry;
        void this.parts.workers.stop({ id, address }, ref, run, this.parts.term);
    }

    /** Makes a start void that got no answer, so that it can't be carried out late. */
    sendVoid(task: Task, link: TrackedWorker): void {
        this.sendStop(task, link, "start-unanswered");
    }

    private async runStart(task: Task, run: number, link: TrackedWorker): Promise<void> {
        const { clock, rules, workers, term, metrics } = this.parts;
        if (this.handlers.isClosed() || task.run !== run || task.phase !== TaskPhase.Ordered) {
            if (task.run === run && task.phase === TaskPhase.Stopping) {
                // The stop overtook the start: nothing was sent, so nothing is there.
                task.settledAtMs = clock.getNow();
            }
            return;
        }
        const sentAtMs = clock.getNow();
        const leaseUntilMs = Math.floor(link.estimateClock(sentAtMs) + rules.leaseMs);
        link.leaseUntilMs = Math.max(link.leaseUntilMs, leaseUntilMs);
        const { id, address } = link.entry;
        const outcome = await workers.start({ id, address }, {
            task: task.ref,
            run,
            payload: task.step.occurrence.job.spec.payload,
            leaseUntilMs,
            fence: term,
            checkpoint: task.checkpoint,
            ticket: this.handlers.getTicket(task, id),
        });
        metrics.recordDuration("start_call", clock.getNow() - sentAtMs);
        metrics.count("starts_total", OrderOutcome[outcome]);
        if (task.run === run && task.isActive) {
            this.applyStartOutcome(task, link, outcome);
        }
    }

    private applyStartOutcome(task: Task, link: TrackedWorker, outcome: OrderOutcome): void {
        const nowMs = this.parts.clock.getNow();
        switch (outcome) {
            case OrderOutcome.Accepted:
                task.settledAtMs = Math.min(task.settledAtMs, nowMs);
                this.handlers.noteStarted(link);
                return;
            case OrderOutcome.Unknown:
                task.isUncertain = true;
                return;
            case OrderOutcome.StaleFence:
                this.parts.onTermLost("start:stale-fence");
                return;
            case OrderOutcome.NoRoom:
                link.blockedUntilMs = nowMs + NO_ROOM_PAUSE_MS;
                break;
            case OrderOutcome.Unhealthy:
            case OrderOutcome.OtherInstance:
                link.blockedUntilMs = nowMs + UNHEALTHY_PAUSE_MS;
                break;
        }
        this.handlers.noteNotStarted(task, link, outcome);
    }

    private async runStop(ref: TaskRef, run: number, link: TrackedWorker, isWanted: () => boolean): Promise<boolean> {
        const { workers, term, clock } = this.parts;
        while (isWanted() && !this.handlers.isClosed()) {
            const { id, address } = link.entry;
            const outcome = await workers.stop({ id, address }, ref, run, term);
            if (outcome === OrderOutcome.StaleFence) {
                this.parts.onTermLost("stop:stale-fence");
                return false;
            }
            if (outcome !== OrderOutcome.Unknown && outcome !== OrderOutcome.Unhealthy) {
                return true;
            }
            await waitFor(clock, STOP_RETRY_MS);
        }
        return false;
    }
}
