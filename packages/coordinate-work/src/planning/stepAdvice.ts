import type { HeldTicket } from "./heldTicket.js";

/** A worker that wasn't permitted is asked about again after this time, in milliseconds: it may be another by then. */
const REFUSAL_KEPT_MS = 10_000;
/** Pause between an answer and the next call for the same step, in milliseconds. */
const CALL_PAUSE_MS = 400;
/** The pause doubles with each call that brings no ticket, at most so often. */
const MAX_PAUSE_DOUBLINGS = 3;

/** What the advice service has told of one step. */
export class StepAdvice {
    private readonly tickets = new Map<string, HeldTicket>();
    private readonly permittedIds = new Set<string>();
    private readonly refusedAtMs = new Map<string, number>();
    /** Whether a call for the step is under way. */
    isAsked = false;
    /** The number of consecutive calls that brought no ticket. */
    fruitlessCalls = 0;
    /** No call for the step before this, in steady milliseconds. */
    nextCallAtMs = -Infinity;

    /** @param getLife Returns when a worker's present life began, in Unix milliseconds. */
    constructor(private readonly getLife: (workerId: string) => number) {}

    /** Gets the ticket for a worker's present life; undefined if there is none. */
    getTicket(workerId: string): HeldTicket | undefined {
        const ticket = this.tickets.get(workerId);
        return ticket?.bornMs === this.getLife(workerId) ? ticket : undefined;
    }

    /** Whether a start on a worker may be planned. */
    isAdvised(workerId: string, nowMs: number): boolean {
        return (this.getTicket(workerId)?.plannableUntilMs ?? -Infinity) > nowMs;
    }

    /** Whether a start may be planned on any worker, whatever room it has. */
    hasAnyTicket(nowMs: number): boolean {
        for (const workerId of this.tickets.keys()) {
            if (this.isAdvised(workerId, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the service has permitted the step on a worker before. */
    isPermitted(workerId: string): boolean {
        return this.permittedIds.has(workerId);
    }

    /** Whether the service has lately not permitted the step on a worker. */
    isRefused(workerId: string, nowMs: number): boolean {
        return nowMs - (this.refusedAtMs.get(workerId) ?? -Infinity) < REFUSAL_KEPT_MS;
    }

    /** Forgets a ticket that a worker has refused. */
    dropTicket(workerId: string): void {
        this.tickets.delete(workerId);
    }

    /**
     * Takes an answer of the service.
     *
     * @param namedIds The workers that the call named.
     * @param permitted The tickets, by the worker's id.
     * @param isComplete Whether the call named all workers that may matter.
     */
    applyAnswer(
        namedIds: readonly string[],
        permitted: ReadonlyMap<string, HeldTicket>,
        isComplete: boolean,
        nowMs: number,
    ): void {
        for (const workerId of namedIds) {
            const ticket = permitted.get(workerId);
            if (ticket === undefined) {
                this.refusedAtMs.set(workerId, nowMs);
                this.permittedIds.delete(workerId);
            }
            else {
                this.tickets.set(workerId, ticket);
                this.permittedIds.add(workerId);
                this.refusedAtMs.delete(workerId);
            }
        }
        this.fruitlessCalls = permitted.size > 0 ? 0 : this.fruitlessCalls + 1;
        const goesOn = permitted.size === 0 && !isComplete;
        this.nextCallAtMs = goesOn ? nowMs : nowMs + this.computePause();
    }

    /** Notes a call without an answer. */
    noteFailure(nowMs: number): void {
        this.fruitlessCalls++;
        this.nextCallAtMs = nowMs + this.computePause();
    }

    private computePause(): number {
        return CALL_PAUSE_MS * 2 ** Math.min(MAX_PAUSE_DOUBLINGS, Math.max(0, this.fruitlessCalls - 1));
    }
}
