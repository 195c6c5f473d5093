import type { Task } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";

/** The most workers that one call asks about: the advice service takes longer for each. */
const MAX_WORKERS_PER_CALL = 30;
/** A ticket is used only if it stays valid for this long, in milliseconds: a start takes time to reach the worker. */
const TICKET_MARGIN_MS = 300;
/** Least time between two calls about one step, in milliseconds. */
const REQUEST_INTERVAL_MS = 400;

/** A ticket permits a step on a worker until the worker restarts. */
interface Ticket {
    readonly ticket: string;
    /** When the ticket expires, in steady milliseconds. */
    readonly untilMs: number;
}

/** Caches the advice service's tickets for steps of queues that need them. */
export class AdviceCache {
    private readonly tickets = new Map<string, Map<string, Ticket>>();
    private readonly requestedAtMs = new Map<string, number>();
    private readonly offsets = new Map<string, number>();

    constructor(private readonly parts: CoordinatorParts, private readonly wake: () => void) {}

    /** Whether the advice service lets a task run on a worker; always true for queues that need no advice. */
    isAdvised(task: Task, workerId: string): boolean {
        return task.step.occurrence.job.queue.advice === undefined || this.getTicket(task, workerId) !== "";
    }

    /** Gets the valid ticket for a task on a worker; empty if there is none. */
    getTicket(task: Task, workerId: string): string {
        const found = this.tickets.get(formatStepKey(task))?.get(workerId);
        const isValid = found !== undefined && found.untilMs - TICKET_MARGIN_MS > this.parts.clock.getNow();
        return isValid ? found.ticket : "";
    }

    /** Requests tickets for a step that found no worker with one; the answer schedules a planning round. */
    request(task: Task, workers: readonly string[]): void {
        const key = formatStepKey(task);
        const nowMs = this.parts.clock.getNow();
        if (workers.length === 0 || nowMs - (this.requestedAtMs.get(key) ?? -Infinity) < REQUEST_INTERVAL_MS) {
            return;
        }
        this.requestedAtMs.set(key, nowMs);
        const offset = this.offsets.get(key) ?? 0;
        this.offsets.set(key, offset + MAX_WORKERS_PER_CALL);
        const start = offset % workers.length;
        const chosen = [...workers.slice(start), ...workers.slice(0, start)].slice(0, MAX_WORKERS_PER_CALL);
        void this.fetchTickets(task, key, chosen);
    }

    /** Drops a ticket that a worker has refused: it may be one for an earlier life of the worker. */
    dropTicket(task: Task, workerId: string): void {
        this.tickets.get(formatStepKey(task))?.delete(workerId);
    }

    /** Drops a job's tickets. */
    dropJob(jobId: string): void {
        for (const key of [...this.requestedAtMs.keys()]) {
            if (key.startsWith(`${jobId}/`)) {
                this.requestedAtMs.delete(key);
                this.tickets.delete(key);
                this.offsets.delete(key);
            }
        }
    }

    private async fetchTickets(task: Task, key: string, workers: readonly string[]): Promise<void> {
        const { advice, clock, metrics, logger } = this.parts;
        const sentAtMs = clock.getNow();
        const { jobId, occurrence, step } = task.ref;
        const answer = await advice.requestTickets(jobId, occurrence, step, workers);
        metrics.recordDuration("advice_call", clock.getNow() - sentAtMs);
        if (answer.tickets === undefined) {
            metrics.count("advice_failures_total", "unanswered");
            this.requestedAtMs.delete(key);
            return;
        }
        logger.info("advice-taken", { step: key, asked: workers.length, good: answer.tickets.length });
        const known = this.tickets.get(key) ?? new Map<string, Ticket>();
        for (const { workerId, ticket } of answer.tickets) {
            known.set(workerId, { ticket, untilMs: sentAtMs + answer.validMs });
        }
        this.tickets.set(key, known);
        this.wake();
    }
}

function formatStepKey(task: Task): string {
    const { jobId, occurrence, step } = task.ref;
    return `${jobId}/${occurrence}/${step}`;
}
