import type { Clock } from "@sardinestage/describe-ports";
import type { JobSpec, QueueConfig } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import type { EventLogger } from "@sardinestage/log-events";
import { CANCEL_SUFFIX, encodeJobRecord } from "@sardinestage/track-jobs";
import { CoordinatorCallKind } from "./coordinatorCallKind.js";
import type { CoordinatorLine } from "./coordinatorLine.js";
import type { JobLedger } from "./jobLedger.js";
import { PendingCounts } from "./pendingCounts.js";
import type { RecordDesk } from "./recordDesk.js";
import type { StateAnswer } from "./stateAnswer.js";
import type { StateReader } from "./stateReader.js";
import { SubmitOutcome } from "./submitOutcome.js";
import { TrustedLine } from "./trustedLine.js";
import { waitForFirst } from "./waitForFirst.js";

/** A coordinator that takes longer for a question is taken not to answer, in milliseconds. */
const SILENT_AFTER_MS = 1500;
/** The longest that a question is worked on, in milliseconds. */
const QUESTION_TIMEOUT_MS = 2000;
/** Part of a caller's time after which there is no use in an answer: what is left brings it to the caller. */
const USABLE_SHARE = 0.9;
/** A caller that doesn't say how long it waits is taken to wait so long, in milliseconds. */
const USUAL_PATIENCE_MS = 3000;

/** What a job desk works with. */
interface JobDeskParts {
    readonly records: RecordDesk;
    readonly states: StateReader;
    readonly ledger: JobLedger;
    readonly line: CoordinatorLine;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/**
 * Takes what callers ask about jobs. A job is accepted once it is in the store, coordinator or not; and its state is read
 * there where the coordinator doesn't tell it soon.
 */
export class JobDesk {
    private readonly line: TrustedLine;
    private readonly counts: PendingCounts;

    constructor(private readonly parts: JobDeskParts) {
        this.line = new TrustedLine({ ...parts, purpose: "questions", silentAfterMs: SILENT_AFTER_MS });
        this.counts = new PendingCounts(parts.clock);
    }

    /**
     * Accepts a job; the same id any number of times is one job.
     *
     * @param patienceMs How long the caller waits, in milliseconds.
     */
    async submit(
        id: string,
        queue: QueueConfig,
        spec: JobSpec,
        patienceMs = USUAL_PATIENCE_MS,
    ): Promise<SubmitOutcome> {
        const sentAtMs = this.parts.clock.getNow();
        const value = encodeJobRecord({ spec, queue, acceptedAtMs: this.parts.clock.getWallTime() });
        const outcome = await this.parts.records.append({ key: id, value }, patienceMs * USABLE_SHARE);
        this.recordOutcome("job-submit", id, queue.name, outcome, sentAtMs);
        if (outcome === SubmitOutcome.Accepted) {
            this.parts.ledger.noteAccepted(id);
        }
        return outcome;
    }

    /**
     * Cancels a job for good.
     *
     * @param patienceMs How long the caller waits, in milliseconds.
     */
    async cancel(id: string, queue: QueueConfig, patienceMs = USUAL_PATIENCE_MS): Promise<SubmitOutcome> {
        const sentAtMs = this.parts.clock.getNow();
        const value = new Uint8Array([1]);
        const outcome = await this.parts.records.append({ key: id + CANCEL_SUFFIX, value }, patienceMs * USABLE_SHARE);
        this.recordOutcome("job-cancel", id, queue.name, outcome, sentAtMs);
        if (outcome === SubmitOutcome.Accepted) {
            this.parts.ledger.noteCancelled(id);
            // A hint only: the coordinator reads it in the store anyway.
            void this.line.call({ kind: CoordinatorCallKind.Cancel, id });
        }
        return outcome;
    }

    /**
     * Tells a job's state: as this VM knows it, or the coordinator tells it, or the store where the coordinator doesn't soon.
     *
     * @param patienceMs How long the caller waits, in milliseconds.
     */
    async getState(id: string, patienceMs = USUAL_PATIENCE_MS): Promise<StateAnswer> {
        const { clock, ledger, logger, states } = this.parts;
        const end = ledger.findEnd(id);
        if (end !== undefined) {
            return { state: end };
        }
        const sentAtMs = clock.getNow();
        const untilMs = sentAtMs + computeTimeout(patienceMs);
        const told = this.requestState(id);
        const soonMs = Math.min(this.line.waitMs, (untilMs - sentAtMs) / 2);
        const early = await this.waitSoon(told, soonMs);
        // Nobody waits for a coordinator that is in doubt: it is asked to find out whether it answers again.
        const answer = early ?? await (soonMs === 0
            ? states.read(id, untilMs)
            : this.waitSoon(waitForFirst([told, states.read(id, untilMs)]), untilMs - clock.getNow()));
        if (answer === undefined) {
            const tookMs = Math.round(clock.getNow() - sentAtMs);
            logger.warn("job-state-unavailable", { job: id, reason: "no-coordinator-nor-store", tookMs });
            return { isUnavailable: true };
        }
        return answer;
    }

    /**
     * Counts the accepted jobs of a queue of which nothing has run yet.
     *
     * @param patienceMs How long the caller waits, in milliseconds.
     * @returns A count that is at most as old as callers may be told; undefined when there is none.
     */
    async getPending(queue: string, patienceMs = USUAL_PATIENCE_MS): Promise<number | undefined> {
        const told = this.requestPending(queue);
        const waitMs = this.line.waitMs === 0 ? 0 : computeTimeout(patienceMs);
        return await this.waitSoon(told, waitMs) ?? this.counts.find(queue);
    }

    private async requestPending(queue: string): Promise<number | undefined> {
        const askedAtMs = this.parts.clock.getNow();
        const reply = await this.line.call({ kind: CoordinatorCallKind.GetPending, queue });
        if (reply?.pending !== undefined) {
            this.counts.note(queue, reply.pending, askedAtMs);
        }
        return reply?.pending;
    }

    /** An answer, if it comes soon. */
    private async waitSoon<T>(told: Promise<T | undefined>, soonMs: number): Promise<T | undefined> {
        let cancel: () => void = () => undefined;
        const late = new Promise<undefined>(resolve =>
            cancel = this.parts.clock.schedule(soonMs, () => resolve(undefined))
        );
        const first = await Promise.race([told, late]);
        cancel();
        return first;
    }

    /** Asks the coordinator for a job's state; undefined when it isn't asked, doesn't answer or doesn't know. */
    private async requestState(id: string): Promise<StateAnswer | undefined> {
        const reply = await this.line.call({ kind: CoordinatorCallKind.GetState, id });
        if (reply === undefined || reply.isUnsent === true || reply.isUnsure === true) {
            return undefined;
        }
        if (reply.state === JobState.Completed || reply.state === JobState.Failed) {
            // The coordinator tells of these ends only once they are in the store.
            this.parts.ledger.noteEnd(id, reply.state);
        }
        return reply.state === undefined ? { isAbsent: true } : { state: reply.state };
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

function computeTimeout(patienceMs: number): number {
    return Math.min(QUESTION_TIMEOUT_MS, patienceMs * USABLE_SHARE);
}
