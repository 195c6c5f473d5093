import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock } from "@sardinestage/describe-ports";
import type { JobOrigin, JobSpec, QueueConfig } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import type { EventLogger } from "@sardinestage/log-events";
import { CANCEL_SUFFIX, encodeJobRecord, estimateJobBytes } from "@sardinestage/track-jobs";
import { AnswerSource } from "./answerSource.js";
import { CoordinatorCallKind } from "./coordinatorCallKind.js";
import type { CoordinatorClient } from "./coordinatorClient.js";
import { CoordinatorSilence } from "./coordinatorSilence.js";
import { findSilence } from "./findSilence.js";
import { GuardedCoordinatorClient } from "./guardedCoordinatorClient.js";
import { JobAdmission } from "./jobAdmission.js";
import type { JobStateAnswer } from "./jobStateAnswer.js";
import type { JobStateCache } from "./jobStateCache.js";
import type { JobStateReader } from "./jobStateReader.js";
import type { PageTotals } from "./pageTotals.js";
import { PendingCountCache } from "./pendingCountCache.js";
import { PROBE_ANSWER_MS } from "./probeAnswerMs.js";
import type { RecordAppender } from "./recordAppender.js";
import type { SourcedAnswer } from "./sourcedAnswer.js";
import { StateAnswerReporter } from "./stateAnswerReporter.js";
import { StateQuery } from "./stateQuery.js";
import { SubmitOutcome } from "./submitOutcome.js";
import { waitForFirst } from "./waitForFirst.js";

/** A query that the coordinator takes longer for counts as unanswered, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1500;
/** Share of the caller's timeout that may be used; the rest is left for the answer to reach the caller. */
const USABLE_TIMEOUT_SHARE = 0.9;
/**
 * Share of the usable time in which only the coordinator is asked about a job whose last state is known: a call in this
 * time costs little, and reads of the store have a cost that grows with all jobs.
 */
const COORDINATOR_TIME_SHARE = 0.5;
/** Longest time to answer a question, in milliseconds: a caller that would wait longer may ask another VM meanwhile. */
const MAX_QUESTION_MS = 4000;
/** Assumed timeout of a caller that doesn't specify one, in milliseconds. */
const DEFAULT_CALLER_TIMEOUT_MS = 3000;

/** Dependencies of `JobService`. */
interface JobServiceParts {
    readonly recordAppender: RecordAppender;
    readonly stateReader: JobStateReader;
    readonly jobStateCache: JobStateCache;
    readonly coordinatorClient: CoordinatorClient;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
    /**
     * Returns the memory that this VM may let new jobs take of the coordinator without a question, in bytes; undefined
     * if no coordinator has told of it lately. Without it, there is room for every job.
     */
    readonly getFreeJobBytes?: () => number | undefined;
}

/**
 * Handles callers' requests about jobs. A job is accepted as soon as it is in the store, whether or not there is a
 * coordinator. A job's state comes from the coordinator, or from the store if the coordinator doesn't answer soon.
 */
export class JobService {
    private readonly coordinator: GuardedCoordinatorClient;
    private readonly pendingCounts: PendingCountCache;
    private readonly answerReporter: StateAnswerReporter;
    private readonly admission: JobAdmission;

    constructor(private readonly parts: JobServiceParts) {
        this.coordinator = new GuardedCoordinatorClient({
            ...parts,
            purpose: "questions",
            answerTimeoutMs: ANSWER_TIMEOUT_MS,
        });
        this.pendingCounts = new PendingCountCache(parts.clock);
        this.answerReporter = new StateAnswerReporter(parts.clock, parts.logger);
        this.admission = new JobAdmission({
            ...parts,
            callCoordinator: call => this.coordinator.call(call),
            getFreeJobBytes: parts.getFreeJobBytes ?? (() => undefined),
        });
    }

    /**
     * Accepts a job. Submitting the same id again has no further effect.
     *
     * @param callerTimeoutMs How long the caller waits, in milliseconds.
     * @param address The caller's address.
     */
    async submit(
        id: string,
        queue: QueueConfig,
        spec: JobSpec,
        callerTimeoutMs = DEFAULT_CALLER_TIMEOUT_MS,
        address?: string,
    ): Promise<SubmitOutcome> {
        const sentAtMs = this.parts.clock.getNow();
        const value = encodeJobRecord({ spec, queue, acceptedAtMs: this.parts.clock.getWallTime() });
        const origin = { queue: queue.name, address };
        const refusal = await this.findRefusal(id, estimateJobBytes(spec, value.length), origin);
        if (refusal !== undefined) {
            return refusal;
        }
        const waitedMs = this.parts.clock.getNow() - sentAtMs;
        const appended = await this.parts.recordAppender.append(
            { key: id, value },
            Math.max(0, callerTimeoutMs * USABLE_TIMEOUT_SHARE - waitedMs),
        );
        // Callers submit a job again whose acceptance they haven't heard of.
        const isKnown = this.parts.jobStateCache.findLastState(id) !== undefined;
        const outcome = isKnown && appended !== SubmitOutcome.Invalid ? SubmitOutcome.Accepted : appended;
        this.recordOutcome("job-submit", id, queue.name, outcome, sentAtMs);
        if (appended === SubmitOutcome.Accepted) {
            this.parts.jobStateCache.noteAccepted(id);
        }
        return outcome;
    }

    /**
     * Cancels a job permanently.
     *
     * @param callerTimeoutMs How long the caller waits, in milliseconds.
     */
    async cancel(id: string, queue: QueueConfig, callerTimeoutMs = DEFAULT_CALLER_TIMEOUT_MS): Promise<SubmitOutcome> {
        const sentAtMs = this.parts.clock.getNow();
        const value = new Uint8Array([1]);
        const appended = await this.parts.recordAppender.append(
            { key: id + CANCEL_SUFFIX, value },
            callerTimeoutMs * USABLE_TIMEOUT_SHARE,
        );
        const outcome = this.parts.jobStateCache.isCancelled(id) ? SubmitOutcome.Accepted : appended;
        this.recordOutcome("job-cancel", id, queue.name, outcome, sentAtMs);
        if (outcome === SubmitOutcome.Accepted) {
            this.parts.jobStateCache.noteCancelled(id);
            // Only speeds the cancellation up: the coordinator also reads it from the store.
            void this.coordinator.call({ kind: CoordinatorCallKind.Cancel, id });
        }
        return outcome;
    }

    /**
     * Returns a job's state: from this VM's cache, from the coordinator, or from the store if the coordinator is late. If
     * neither answers in the caller's time, the last known state of a job that was certainly accepted.
     *
     * @param callerTimeoutMs How long the caller waits, in milliseconds.
     */
    async getState(id: string, callerTimeoutMs = DEFAULT_CALLER_TIMEOUT_MS): Promise<JobStateAnswer> {
        const sentAtMs = this.parts.clock.getNow();
        const { answer, source } = await this.resolveState(id, callerTimeoutMs, sentAtMs);
        this.answerReporter.noteAnswer(source, answer, this.parts.clock.getNow() - sentAtMs);
        return answer;
    }

    /**
     * Counts the accepted jobs of a queue of which no task has run yet.
     *
     * @param callerTimeoutMs How long the caller waits, in milliseconds.
     * @returns The coordinator's count or a recent one from the cache; undefined if there is neither.
     */
    async getPending(queue: string, callerTimeoutMs = DEFAULT_CALLER_TIMEOUT_MS): Promise<number | undefined> {
        const fromCoordinator = this.requestPending(queue);
        const { hedgeDelayMs } = this.coordinator;
        const usableMs = computeUsableTime(callerTimeoutMs);
        const earlyMs = Math.min(hedgeDelayMs, usableMs);
        const early = await this.waitAtMost(fromCoordinator, earlyMs) ?? this.pendingCounts.find(queue);
        if (early !== undefined) {
            return early;
        }
        const leftMs = usableMs - earlyMs;
        return this.waitAtMost(fromCoordinator, hedgeDelayMs === 0 ? Math.min(PROBE_ANSWER_MS, leftMs) : leftMs);
    }

    /** Ends all submissions and cancellations that wait for the store, with an outcome that holds whatever follows. */
    expireRecords(): void {
        this.parts.recordAppender.expirePending();
    }

    /** Writes the counts that aren't logged yet. */
    close(): void {
        this.answerReporter.flush();
        this.parts.stateReader.close();
    }

    /** Finds out why there is no room for a job. One that may have been accepted before isn't refused. */
    private async findRefusal(id: string, bytes: number, origin: JobOrigin): Promise<SubmitOutcome | undefined> {
        const { jobStateCache, recordAppender } = this.parts;
        const isKnown = () => jobStateCache.findLastState(id) !== undefined || recordAppender.hasPossiblyStored(id);
        const refusal = isKnown() ? undefined : await this.admission.findRefusal(id, bytes, origin);
        return isKnown() ? undefined : refusal;
    }

    private async resolveState(id: string, callerTimeoutMs: number, sentAtMs: number): Promise<SourcedAnswer> {
        const { clock, jobStateCache, metrics, stateReader } = this.parts;
        const finalState = jobStateCache.findFinalState(id);
        if (finalState !== undefined) {
            return { source: AnswerSource.Remembered, answer: { state: finalState } };
        }
        const untilMs = sentAtMs + computeUsableTime(callerTimeoutMs);
        const query = new StateQuery(id, untilMs);
        const totalsBefore = stateReader.totals;
        const fromCoordinator = this.requestState(query);
        const { hedgeDelayMs } = this.coordinator;
        const usableMs = untilMs - sentAtMs;
        const coordinatorOnlyMs = hedgeDelayMs > 0 && jobStateCache.findCurrentState(id) !== undefined
            ? usableMs * COORDINATOR_TIME_SHARE
            : Math.min(hedgeDelayMs, usableMs / 2);
        const early = await this.waitAtMost(fromCoordinator, coordinatorOnlyMs);
        if (early !== undefined) {
            return early;
        }
        const currentState = jobStateCache.findCurrentState(id);
        if (currentState !== undefined) {
            metrics.count("states_from_memory_total", "current");
            return { source: AnswerSource.Remembered, answer: { state: currentState } };
        }
        // With an open circuit nobody waits long for the coordinator: a call finds out whether it answers again.
        const answer = await (hedgeDelayMs === 0
            ? this.readStateFirst(query, fromCoordinator)
            : this.waitAtMost(
                waitForFirst([fromCoordinator, this.readState(query)]),
                untilMs - clock.getNow(),
            ));
        return answer ?? this.answerFromMemory(query, totalsBefore, callerTimeoutMs, sentAtMs);
    }

    /** Reads a job's state from the store, or takes it from a coordinator that answers soon if the store fails. */
    private async readStateFirst(
        query: StateQuery,
        fromCoordinator: Promise<SourcedAnswer | undefined>,
    ): Promise<SourcedAnswer | undefined> {
        const leftMs = query.untilMs - this.parts.clock.getNow();
        const soon = this.waitAtMost(fromCoordinator, Math.min(PROBE_ANSWER_MS, leftMs));
        return await this.readState(query) ?? soon;
    }

    private async readState(query: StateQuery): Promise<SourcedAnswer | undefined> {
        const answer = await this.parts.stateReader.read(query);
        return answer && { source: AnswerSource.Store, answer };
    }

    private async requestPending(queue: string): Promise<number | undefined> {
        const askedAtMs = this.parts.clock.getNow();
        const reply = await this.coordinator.call({ kind: CoordinatorCallKind.GetPending, queue });
        if (reply?.pending !== undefined) {
            this.pendingCounts.note(queue, reply.pending, askedAtMs);
        }
        return reply?.pending;
    }

    /** Waits for an answer; undefined if it takes longer than `timeoutMs`. */
    private async waitAtMost<T>(answer: Promise<T | undefined>, timeoutMs: number): Promise<T | undefined> {
        let cancel: () => void = () => undefined;
        const timedOut = new Promise<undefined>(resolve =>
            cancel = this.parts.clock.schedule(timeoutMs, () => resolve(undefined))
        );
        const first = await Promise.race([answer, timedOut]);
        cancel();
        return first;
    }

    /** Asks the coordinator for a job's state; undefined if the call isn't sent or answered, or the state is unsure. */
    private async requestState(query: StateQuery): Promise<SourcedAnswer | undefined> {
        const { id } = query;
        const reply = await this.coordinator.call({ kind: CoordinatorCallKind.GetState, id });
        const silence = findSilence(reply);
        if (reply === undefined || silence !== undefined) {
            query.coordinator = silence ?? CoordinatorSilence.Unanswered;
            return undefined;
        }
        if (reply.state !== undefined && reply.state !== JobState.Cancelled) {
            // The coordinator reports an end only once it is in the store, except for a cancellation.
            this.parts.jobStateCache.noteState(id, reply.state);
        }
        const answer = reply.state === undefined ? { isAbsent: true as const } : { state: reply.state };
        return { source: AnswerSource.Coordinator, answer };
    }

    /** Answers a question that neither source has answered: with the last state of a job that was certainly accepted. */
    private answerFromMemory(
        query: StateQuery,
        totalsBefore: PageTotals,
        callerTimeoutMs: number,
        sentAtMs: number,
    ): SourcedAnswer {
        const lastState = this.parts.jobStateCache.findLastState(query.id);
        if (lastState === undefined) {
            this.recordUnavailable(query, totalsBefore, callerTimeoutMs, sentAtMs);
            return { source: AnswerSource.None, answer: { isUnavailable: true } };
        }
        const { coordinator, store, step } = query;
        this.parts.metrics.count("states_from_memory_total", "last-known");
        this.parts.logger.warn("job-state-from-memory", {
            job: query.id,
            state: lastState,
            coordinator,
            store,
            storeStep: step,
            tookMs: Math.round(this.parts.clock.getNow() - sentAtMs),
        });
        return { source: AnswerSource.Remembered, answer: { state: lastState } };
    }

    /** Logs why neither source has answered; the pages are those that this VM read meanwhile, for all questions. */
    private recordUnavailable(
        query: StateQuery,
        totalsBefore: PageTotals,
        callerTimeoutMs: number,
        sentAtMs: number,
    ): void {
        const { clock, logger, stateReader } = this.parts;
        const { pages, bytes } = stateReader.totals;
        logger.warn("job-state-unavailable", {
            job: query.id,
            reason: "no-coordinator-nor-store",
            coordinator: query.coordinator,
            store: query.store,
            storeStep: query.step,
            pages: pages - totalsBefore.pages,
            bytes: Math.round(bytes - totalsBefore.bytes),
            callerTimeoutMs,
            tookMs: Math.round(clock.getNow() - sentAtMs),
        });
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

function computeUsableTime(callerTimeoutMs: number): number {
    return Math.min(MAX_QUESTION_MS, callerTimeoutMs * USABLE_TIMEOUT_SHARE);
}
