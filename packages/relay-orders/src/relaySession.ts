import type { Clock } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import type { AnswerRow } from "./answerRow.js";
import { CallCodec } from "./callCodec.js";
import type { RelayAnswer } from "./relayAnswer.js";
import type { RelayedCall } from "./relayedCall.js";
import { RelayedCallKind } from "./relayedCallKind.js";
import { RelayOutcome } from "./relayOutcome.js";
import type { RelayReply } from "./relayReply.js";
import type { RelayRequest } from "./relayRequest.js";
import type { RelayVm } from "./relayVm.js";
import { ReportDecoder } from "./reportDecoder.js";
import { resolveFence } from "./resolveFence.js";
import { SessionState } from "./sessionState.js";

/** Timeout of a request to a relay, in milliseconds: several times the delay after which it replies in any case. */
const REQUEST_TIMEOUT_MS = 1000;
/** A relay whose event loop is usually later than this takes no further calls, in milliseconds. */
const MAX_LOOP_DELAY_MS = 100;
/** Time beyond a call's own wait after which its answer is given up, in milliseconds. */
const ANSWER_TIMEOUT_MS = 4000;

/** Dependencies of a session. */
interface RelaySessionParts {
    readonly relay: RelayVm;
    /** The coordinator's term. */
    readonly term: number;
    /** Identifies the session; unique. */
    readonly id: string;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Sends a request to the relay; returns undefined if no reply comes within the timeout. */
    readonly sendRequest: (
        relay: RelayVm,
        request: RelayRequest,
        timeoutMs: number,
    ) => Promise<RelayReply | undefined>;
    /** How long calls and answers are gathered before they are sent, in milliseconds. */
    readonly getGatherMs: () => number;
    /** Called once when the relay takes no further calls. */
    readonly onUnusable: (reason: string) => void;
    /** Called when the session closes with renewals of these workers' leases unanswered. */
    readonly onRenewalsUnanswered: (workers: readonly string[]) => void;
}

/** A call that waits to be sent or answered. */
interface PendingCall {
    readonly call: RelayedCall;
    /** When the answer is given up, in steady milliseconds. */
    readonly expiresAtMs: number;
    /** Settles the call with its answer, or with undefined if it certainly wasn't made. */
    readonly settle: (answer: RelayAnswer | undefined) => void;
}

/**
 * The coordinator's side of a session with a relay. While calls are unanswered, one request is always under way, whose
 * reply brings the answers.
 */
export class RelaySession {
    private queued: PendingCall[] = [];
    private readonly pending = new Map<number, PendingCall>();
    private readonly decoder = new ReportDecoder();
    private lastId = 0;
    private requestsUnderWay = 0;
    private isFlushScheduled = false;
    /** Whether the relay passes fencing tokens on that differ from the term. */
    private carriesFences = false;
    /** Number of workers whose calls go through this relay. */
    workerCount = 0;
    state = SessionState.Opening;

    constructor(private readonly parts: RelaySessionParts) {}

    /** The VM that relays the calls. */
    get relay(): RelayVm {
        return this.parts.relay;
    }

    /** Opens the session; on success it takes calls. */
    async open(): Promise<void> {
        const reply = await this.sendRequest([], true);
        if (reply?.outcome !== RelayOutcome.Accepted) {
            this.close(reply === undefined ? "unreachable" : `opening-${RelayOutcome[reply.outcome]}`);
        }
        else if (reply.loopDelayMs > MAX_LOOP_DELAY_MS) {
            this.close("busy");
        }
        else {
            this.carriesFences = reply.carriesFences === true;
            this.state = SessionState.Open;
        }
    }

    /**
     * Has the relay make a call.
     *
     * @returns The answer, with the outcome `Unknown` if the call may have been made; undefined if it certainly wasn't.
     */
    forwardCall(call: RelayedCall): Promise<RelayAnswer | undefined> {
        // A relay of an earlier version would send the term as the token.
        const isTokenPassedOn = this.carriesFences || resolveFence(call) === this.parts.term;
        if (this.state !== SessionState.Open || !isTokenPassedOn) {
            return Promise.resolve(undefined);
        }
        const waitMs = call.kind === RelayedCallKind.RenewLease ? call.order.waitMs : 0;
        const expiresAtMs = this.parts.clock.getNow() + waitMs + ANSWER_TIMEOUT_MS;
        return new Promise(resolve => {
            this.queued.push({ call, expiresAtMs, settle: resolve });
            this.scheduleFlush();
        });
    }

    /** Sends the relay no further calls; those under way are still answered. */
    drain(reason: string): void {
        if (this.state === SessionState.Open) {
            this.state = SessionState.Draining;
            this.parts.onUnusable(reason);
        }
    }

    private scheduleFlush(): void {
        if (!this.isFlushScheduled) {
            this.isFlushScheduled = true;
            this.parts.clock.schedule(this.parts.getGatherMs(), () => {
                this.isFlushScheduled = false;
                void this.flushCalls();
            });
        }
    }

    private async flushCalls(): Promise<void> {
        if (this.state === SessionState.Closed) {
            return;
        }
        const calls = this.queued;
        this.queued = [];
        const firstId = this.lastId + 1;
        for (const call of calls) {
            this.pending.set(++this.lastId, call);
        }
        const ids = calls.map((_call, index) => firstId + index);
        this.requestsUnderWay++;
        const reply = await this.sendRequest(ids, false);
        this.requestsUnderWay--;
        this.handleReply(reply, ids);
        if (this.requestsUnderWay === 0 && this.pending.size > 0 && !this.isFlushScheduled) {
            void this.flushCalls();
        }
    }

    private sendRequest(ids: readonly number[], isOpening: boolean): Promise<RelayReply | undefined> {
        const { relay, term, id, clock, getGatherMs } = this.parts;
        const payloads = new Map<string, number>();
        const addPayload = (payload: string) => {
            const index = payloads.get(payload) ?? payloads.size;
            payloads.set(payload, index);
            return index;
        };
        const calls = ids.flatMap(callId => {
            const pending = this.pending.get(callId);
            return pending === undefined ? [] : [CallCodec.encodeCall(callId, pending.call, term, addPayload)];
        });
        const request: RelayRequest = {
            term,
            session: id,
            isOpening,
            sentAtMs: clock.getWallTime(),
            gatherMs: getGatherMs(),
            payloads: [...payloads.keys()],
            calls,
        };
        return this.parts.sendRequest(relay, request, REQUEST_TIMEOUT_MS);
    }

    private handleReply(reply: RelayReply | undefined, ids: readonly number[]): void {
        if (reply === undefined) {
            this.close("unreachable");
            return;
        }
        if (reply.outcome !== RelayOutcome.Accepted) {
            const isStale = reply.outcome === RelayOutcome.StaleTerm;
            const answer = isStale ? { outcome: OrderOutcome.StaleFence, report: undefined } : undefined;
            ids.forEach(id => this.finishCall(id, answer));
            this.close(RelayOutcome[reply.outcome]);
            return;
        }
        try {
            (reply.answers as AnswerRow[]).forEach(row => this.applyAnswer(row));
        }
        catch (failure) {
            this.close(`answer-invalid: ${String(failure)}`);
            return;
        }
        this.checkOverdue();
        if (reply.loopDelayMs > MAX_LOOP_DELAY_MS) {
            this.drain("busy");
        }
    }

    private applyAnswer(row: AnswerRow): void {
        const [id, outcome] = row;
        const pending = this.pending.get(id);
        if (pending?.call.kind !== RelayedCallKind.RenewLease) {
            this.finishCall(id, { outcome, report: undefined });
            return;
        }
        const { worker, order } = pending.call;
        const report = this.decoder.decodeReport(worker.id, row);
        // Only a relay of an earlier version passes on an answer that it couldn't read.
        const isUnread = outcome === OrderOutcome.Accepted && (order.bornMs ?? 0) > 0 && !(report.bornMs > 0);
        this.finishCall(id, isUnread ? { outcome: OrderOutcome.Unknown, report: undefined } : { outcome, report });
    }

    /** Gives the relay up if an answer is overdue: it answers every call, also those that a worker doesn't answer. */
    private checkOverdue(): void {
        const nowMs = this.parts.clock.getNow();
        if ([...this.pending.values()].some(({ expiresAtMs }) => nowMs >= expiresAtMs)) {
            this.close("answer-overdue");
        }
    }

    private finishCall(id: number, answer: RelayAnswer | undefined): void {
        const pending = this.pending.get(id);
        this.pending.delete(id);
        pending?.settle(answer);
    }

    private close(reason: string): void {
        if (this.state === SessionState.Closed) {
            return;
        }
        const wasUsable = this.state !== SessionState.Draining;
        this.state = SessionState.Closed;
        this.noteUnfinished(reason);
        if (wasUsable) {
            this.parts.onUnusable(reason);
        }
        const renewals = [...this.pending.values()].filter(({ call }) => call.kind === RelayedCallKind.RenewLease);
        if (renewals.length > 0) {
            this.parts.onRenewalsUnanswered(renewals.map(({ call }) => call.worker.id));
        }
        [...this.pending.keys()].forEach(id =>
            this.finishCall(id, { outcome: OrderOutcome.Unknown, report: undefined })
        );
        this.queued.forEach(({ settle }) => settle(undefined));
        this.queued = [];
    }

    /** Logs how many calls the end of the session leaves without an answer: the workers may have answered them. */
    private noteUnfinished(reason: string): void {
        const { relay, id, logger } = this.parts;
        const pending = [...this.pending.values()];
        if (pending.length + this.queued.length > 0) {
            logger.warn("relay-calls-unanswered", {
                vm: relay.vm,
                session: id,
                reason,
                calls: pending.length,
                renewals: pending.filter(({ call }) => call.kind === RelayedCallKind.RenewLease).length,
                unsent: this.queued.length,
            });
        }
    }
}
