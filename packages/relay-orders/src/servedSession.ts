import type { Clock, LeaseReport, OrderOutcome } from "@sardinestage/describe-ports";
import type { AnswerRow } from "./answerRow.js";
import { ReportEncoder } from "./reportEncoder.js";

/** Without answers a request is replied to after this time, so that the coordinator sees that the relay lives. */
const MAX_REPLY_DELAY_MS = 300;

/** An answer that waits for a reply. Reports are encoded with the reply, in the order in which they are decoded. */
type Answer =
    | { readonly id: number; readonly outcome: OrderOutcome }
    | { readonly id: number; readonly workerId: string; readonly report: LeaseReport };

/** A relay's side of a session: gathers answers until the coordinator's next reply takes them. */
export class ServedSession {
    private answers: Answer[] = [];
    private readonly encoder = new ReportEncoder();
    /** Replies to the request that waits for answers; undefined if none does. */
    private reply: (() => void) | undefined;
    private cancelReply: (() => void) | undefined;
    private gatherMs = 0;
    private isGathering = false;

    /**
     * @param id Identifies the session.
     * @param term The coordinator's term.
     * @param openingDelayMs How long the request that opened the session was under way by the VMs' wall clocks, which
     *   may differ, in milliseconds.
     * @param clock Steady time.
     */
    constructor(
        readonly id: string,
        readonly term: number,
        readonly openingDelayMs: number,
        private readonly clock: Clock,
    ) {}

    /** Adds the outcome of an order. */
    addOutcome(id: number, outcome: OrderOutcome): void {
        this.addAnswer({ id, outcome });
    }

    /** Adds a worker's report. */
    addReport(id: number, workerId: string, report: LeaseReport): void {
        this.addAnswer({ id, workerId, report });
    }

    /**
     * Waits for answers, and takes those gathered within `gatherMs` of the first one. An earlier request that still
     * waits gets its reply at once.
     */
    takeAnswers(gatherMs: number): Promise<AnswerRow[]> {
        this.reply?.();
        this.gatherMs = gatherMs;
        return new Promise(resolve => {
            this.reply = () => {
                this.reply = undefined;
                this.cancelReply?.();
                resolve(this.encodeAnswers());
            };
            this.isGathering = this.answers.length > 0;
            this.scheduleReply(this.isGathering ? gatherMs : MAX_REPLY_DELAY_MS);
        });
    }

    /** Replies to the request that waits, if one does. */
    close(): void {
        this.reply?.();
    }

    /** The number of answers that no reply has taken yet. */
    get answerCount(): number {
        return this.answers.length;
    }

    /** The number of run ends in these answers. */
    get endCount(): number {
        return this.answers.reduce((sum, answer) => sum + ("report" in answer ? answer.report.ended.length : 0), 0);
    }

    private addAnswer(answer: Answer): void {
        this.answers.push(answer);
        if (this.reply !== undefined && !this.isGathering) {
            this.isGathering = true;
            this.scheduleReply(this.gatherMs);
        }
    }

    private encodeAnswers(): AnswerRow[] {
        const { answers } = this;
        this.answers = [];
        return answers.map(answer =>
            "report" in answer
                ? this.encoder.encodeReport(answer.id, answer.workerId, answer.report)
                : [answer.id, answer.outcome]
        );
    }

    private scheduleReply(delayMs: number): void {
        this.cancelReply?.();
        this.cancelReply = this.clock.schedule(delayMs, () => this.reply?.());
    }
}
