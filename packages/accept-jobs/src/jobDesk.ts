import type { Clock } from "@sardinestage/describe-ports";
import type { JobSpec, QueueConfig } from "@sardinestage/describe-work";
import type { EventLogger } from "@sardinestage/log-events";
import { CANCEL_SUFFIX, encodeJobRecord } from "@sardinestage/track-jobs";
import { CoordinatorCallKind } from "./coordinatorCallKind.js";
import type { CoordinatorLine } from "./coordinatorLine.js";
import type { RecordDesk } from "./recordDesk.js";
import type { StateAnswer } from "./stateAnswer.js";
import { SubmitOutcome } from "./submitOutcome.js";

/** How long the coordinator may take for a question, in milliseconds. */
const QUESTION_TIMEOUT_MS = 1500;
/** How long the hint of a cancellation may take, in milliseconds; the coordinator reads it in the store anyway. */
const HINT_TIMEOUT_MS = 500;

/** What a job desk works with. */
interface JobDeskParts {
    readonly records: RecordDesk;
    readonly line: CoordinatorLine;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/** Takes what callers ask about jobs. A job is accepted once it is in the store, coordinator or not. */
export class JobDesk {
    constructor(private readonly parts: JobDeskParts) {}

    /** Accepts a job; the same id any number of times is one job. */
    async submit(id: string, queue: QueueConfig, spec: JobSpec): Promise<SubmitOutcome> {
        const sentAtMs = this.parts.clock.getNow();
        const value = encodeJobRecord({ spec, queue, acceptedAtMs: this.parts.clock.getWallTime() });
        const outcome = await this.parts.records.append({ key: id, value });
        this.recordOutcome("job-submit", id, queue.name, outcome, sentAtMs);
        return outcome;
    }

    /** Cancels a job for good. */
    async cancel(id: string, queue: QueueConfig): Promise<SubmitOutcome> {
        const sentAtMs = this.parts.clock.getNow();
        const value = new Uint8Array([1]);
        const outcome = await this.parts.records.append({ key: id + CANCEL_SUFFIX, value });
        this.recordOutcome("job-cancel", id, queue.name, outcome, sentAtMs);
        if (outcome === SubmitOutcome.Accepted) {
            void this.parts.line.call({ kind: CoordinatorCallKind.Cancel, id }, HINT_TIMEOUT_MS);
        }
        return outcome;
    }

    /** Tells a job's state. */
    async getState(id: string): Promise<StateAnswer> {
        const reply = await this.parts.line.call({ kind: CoordinatorCallKind.GetState, id }, QUESTION_TIMEOUT_MS);
        if (reply === undefined || reply.isUnsent === true || reply.isUnsure === true) {
            const reason = reply?.isUnsure === true ? "store-away" : "no-coordinator";
            this.parts.logger.warn("job-state-unavailable", { job: id, reason });
            return { isUnavailable: true };
        }
        return reply.state === undefined ? { isAbsent: true } : { state: reply.state };
    }

    /** Counts the accepted jobs of a queue of which nothing has run yet; undefined when nobody could be asked. */
    async getPending(queue: string): Promise<number | undefined> {
        const reply = await this.parts.line.call({ kind: CoordinatorCallKind.GetPending, queue }, QUESTION_TIMEOUT_MS);
        return reply?.pending;
    }

    private recordOutcome(event: string, id: string, queue: string, outcome: SubmitOutcome, sentAtMs: number): void {
        const tookMs = Math.round(this.parts.clock.getNow() - sentAtMs);
        const fields = { job: id, queue, outcome: SubmitOutcome[outcome], tookMs };
        if (outcome === SubmitOutcome.Accepted) {
            this.parts.logger.info(event, fields);
        }
        else {
            this.parts.logger.warn(event, fields);
        }
    }
}
