import type { Clock, LeaseReport, WorkerPort } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import { CallCodec } from "./callCodec.js";
import { KeptEnds } from "./keptEnds.js";
import type { RelayedCall } from "./relayedCall.js";
import { RelayedCallKind } from "./relayedCallKind.js";
import { RelayOutcome } from "./relayOutcome.js";
import type { RelayReply } from "./relayReply.js";
import type { RelayRequest } from "./relayRequest.js";
import { ServedSession } from "./servedSession.js";

/**
 * A request that took this much longer than the one that opened its session isn't carried out, in milliseconds. This
 * process or the network may have held it up for long, and the coordinator has given up on its calls.
 */
const MAX_REQUEST_DELAY_MS = 1000;

/** Dependencies of an order relay. */
interface OrderRelayParts {
    readonly workers: WorkerPort;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** The usual delay of this process's event loop, in milliseconds. */
    readonly getLoopDelay: () => number;
    /** The newest term that this process knows; 0 if it knows none. */
    readonly getKnownTerm: () => number;
}

/**
 * Makes calls to workers for the coordinator. Only the session opened last is served, and only while this process knows
 * of no later term.
 */
export class OrderRelay {
    private session: ServedSession | undefined;
    /** Ends that workers have listed and that aren't known to be recorded: the reply that carries them may be lost. */
    private readonly kept: KeptEnds;

    constructor(private readonly parts: OrderRelayParts) {
        this.kept = new KeptEnds(parts.clock);
    }

    /**
     * Makes the calls of a request. Replies once answers to calls of the session are there, a later request of the
     * session has arrived, or after a while without answers.
     *
     * @throws {TypeError} If the request is malformed; then no call is made.
     */
    async handleRequest(request: RelayRequest): Promise<RelayReply> {
        if (request.term < Math.max(this.session?.term ?? 0, this.parts.getKnownTerm())) {
            return this.buildReply(RelayOutcome.StaleTerm, []);
        }
        if (request.isOpening) {
            this.openSession(request);
            return { ...this.buildReply(RelayOutcome.Accepted, []), carriesFences: true };
        }
        if (request.endsOf !== undefined) {
            const keptEnds = request.endsOf.flatMap(worker => this.kept.listEnds(worker));
            return { ...this.buildReply(RelayOutcome.Accepted, []), keptEnds };
        }
        const { session } = this;
        if (session === undefined || session.id !== request.session || this.isLate(request, session)) {
            return this.buildReply(RelayOutcome.Expired, []);
        }
        const calls = request.calls.map(row => CallCodec.decodeCall(row, request.term, request.payloads));
        calls.sort((left, right) => left.call.kind - right.call.kind);
        for (const { id, call } of calls) {
            void this.callWorker(session, id, call);
        }
        return this.buildReply(RelayOutcome.Accepted, await session.takeAnswers(request.gatherMs));
    }

    private openSession(request: RelayRequest): void {
        const { clock, logger } = this.parts;
        this.session?.close();
        this.noteUntaken();
        this.session = new ServedSession(request.session, request.term, this.computeDelay(request), clock);
        logger.info("relay-session-opened", { term: request.term, session: request.session });
    }

    /** Logs the answers that the session which ends now has gathered, and which no request has taken. */
    private noteUntaken(): void {
        if (this.session !== undefined && this.session.answerCount > 0) {
            const { id, term, answerCount, endCount } = this.session;
            this.parts.logger.warn("relay-answers-untaken", {
                term,
                session: id,
                answers: answerCount,
                ends: endCount,
            });
        }
    }

    /** Logs a report that comes after its session has ended, so that no request takes it. */
    private noteLateReport(session: ServedSession, worker: string, report: LeaseReport): void {
        if (session !== this.session && report.ended.length > 0) {
            const { id, term } = session;
            this.parts.logger.warn("relay-report-late", { term, session: id, worker, ends: report.ended.length });
        }
    }

    /** Whether a request was under way for much longer than the one that opened the session. */
    private isLate(request: RelayRequest, session: ServedSession): boolean {
        const lateMs = this.computeDelay(request) - session.openingDelayMs;
        if (lateMs <= MAX_REQUEST_DELAY_MS) {
            return false;
        }
        this.parts.logger.warn("relay-request-late", { term: request.term, lateMs: Math.round(lateMs) });
        return true;
    }

    /** Time since the request was sent, in milliseconds, plus the difference between the two VMs' wall clocks. */
    private computeDelay(request: RelayRequest): number {
        return this.parts.clock.getWallTime() - request.sentAtMs;
    }

    private async callWorker(session: ServedSession, id: number, call: RelayedCall): Promise<void> {
        const { workers } = this.parts;
        switch (call.kind) {
            case RelayedCallKind.RenewLease: {
                const { worker, order } = call;
                this.kept.dropRecorded(worker.id, order.bornMs ?? 0, order.lastRecordedEnd);
                const report = await workers.renewLease(worker, order);
                this.kept.remember(worker.id, report.bornMs, report.ended);
                this.noteLateReport(session, worker.id, report);
                return session.addReport(id, worker.id, this.addKeptEnds(worker.id, report));
            }
            case RelayedCallKind.Stop: {
                const { worker, task, run, fence } = call;
                return session.addOutcome(id, await workers.stop(worker, task, run, fence));
            }
            case RelayedCallKind.Pace: {
                const { worker, task, run, percent, fence } = call;
                return session.addOutcome(id, await workers.pace(worker, task, run, percent, fence));
            }
            case RelayedCallKind.Start:
                return session.addOutcome(id, await workers.start(call.worker, call.order));
        }
    }

    /** Adds the ends that a worker has listed before to an answer that isn't a report: one that has gone gives none. */
    private addKeptEnds(worker: string, report: LeaseReport): LeaseReport {
        if (report.outcome === OrderOutcome.Accepted) {
            return report;
        }
        const lives = this.kept.listEnds(worker);
        const life = report.ended.length > 0 ? lives.find(({ bornMs }) => bornMs === report.bornMs) : lives.at(-1);
        return life === undefined ? report : { ...report, bornMs: life.bornMs, ended: life.ended };
    }

    private buildReply(outcome: RelayOutcome, answers: readonly unknown[]): RelayReply {
        return { outcome, loopDelayMs: this.parts.getLoopDelay(), answers };
    }
}
