import type { AdviceAnswer } from "@sardinestage/describe-ports";
import type { AdvicePolicy } from "@sardinestage/describe-work";
import { formatTaskKey } from "@sardinestage/describe-work";
import { AdaptiveTimeout } from "@sardinestage/learn-behaviour";
import type { StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { AdviceCache } from "./adviceCache.js";
import { AdviceCallSize } from "./adviceCallSize.js";
import type { AdviceQuestion } from "./adviceQuestion.js";
import type { HeldTicket } from "./heldTicket.js";
import { listAdviceWorkers } from "./listAdviceWorkers.js";
import type { StepAdvice } from "./stepAdvice.js";

/** The service handles one call of a machine at a time; one more is on its way meanwhile. */
const MAX_CALLS_UNDER_WAY = 2;
/** Steps that hold tickets or are asked about before there is room for them; further ones are asked about once there is. */
const MAX_PREPARED_STEPS = 8;
/** One of so many calls is for a step that tickets haven't helped yet, as far as such steps wait. */
const RETRY_TURN = 4;
/** A round's demands are used for at most this long, in milliseconds: without a later round, nothing may start. */
const MAX_ROUND_AGE_MS = 1000;
/** A step whose tickets leave nothing to ask is looked at again after this time, in milliseconds. */
const NEXT_LOOK_MS = 100;
/** Bounds of the timeout of a call beyond twice the time that the service states, in milliseconds. */
const TIMEOUT_BOUNDS = { leastMs: 1000, mostMs: 8000 };
/** Pause after a call without an answer, in milliseconds; doubles with each further one, up to the second figure. */
const FIRST_FAILURE_PAUSE_MS = 100;
const MAX_FAILURE_PAUSE_MS = 800;
/** A planned start takes up to this long to reach its worker, in milliseconds. */
const TICKET_MARGIN_MS = 300;
/** The most of a ticket's validity that is kept for that. */
const MAX_MARGIN_SHARE = 1 / 4;
/** A ticket is tried for this long even if it may be over when it arrives, in milliseconds: the worker refuses it then. */
const MIN_TRY_MS = 250;
/** Interval at which steps without tickets that don't wait are dropped, in milliseconds. */
const DROP_INTERVAL_MS = 10_000;

/**
 * Asks the advice service for tickets. It keeps no queue: each time that a call may be sent, it chooses the step that
 * gains most by it then. So calls don't age while they wait, however many steps do.
 */
export class AdviceRequester {
    private unmet: readonly StepDemand[] = [];
    private capacities: readonly WorkerCapacity[] = [];
    private notedAtMs = -Infinity;
    private callsUnderWay = 0;
    private callCount = 0;
    /** How many workers the calls have named. */
    private namedCount = 0;
    private readonly callSize = new AdviceCallSize();
    private readonly timeout = new AdaptiveTimeout(TIMEOUT_BOUNDS);
    private consecutiveFailures = 0;
    private pausedUntilMs = -Infinity;
    private droppedAtMs = -Infinity;
    private isClosed = false;

    /**
     * @param getLife Returns when a worker's present life began, in Unix milliseconds.
     * @param wake Called when an answer has arrived, after which steps may be able to start.
     */
    constructor(
        private readonly parts: Pick<CoordinatorParts, "advice" | "clock" | "metrics" | "logger">,
        private readonly cache: AdviceCache,
        private readonly getLife: (workerId: string) => number,
        private readonly wake: () => void,
    ) {}

    /**
     * Notes what a planning round has left, and sends the calls that may be sent now.
     *
     * @param unmet The demands that found no worker, in the order in which they are planned.
     * @param capacities The free capacity of the workers after the round.
     */
    noteRound(unmet: readonly StepDemand[], capacities: readonly WorkerCapacity[]): void {
        this.unmet = unmet.filter(({ step, waiting }) =>
            waiting.length > 0 && step.occurrence.job.queue.advice !== undefined
        );
        this.capacities = capacities;
        this.notedAtMs = this.parts.clock.getNow();
        this.dropUnused();
        this.sendCalls();
    }

    /** Sends no further call. */
    close(): void {
        this.isClosed = true;
        this.unmet = [];
    }

    private sendCalls(): void {
        const nowMs = this.parts.clock.getNow();
        while (!this.isClosed && this.callsUnderWay < MAX_CALLS_UNDER_WAY && nowMs >= this.pausedUntilMs) {
            const question = nowMs - this.notedAtMs <= MAX_ROUND_AGE_MS ? this.chooseQuestion(nowMs) : undefined;
            if (question === undefined) {
                return;
            }
            void this.sendCall(question);
        }
    }

    /**
     * Chooses the first step in the order of planning that a ticket helps: it has room on a worker that it has no ticket
     * for, or it is among the next ones and has no ticket at all. Steps that earlier tickets or calls didn't help come
     * after the others, but for some turns.
     */
    private chooseQuestion(nowMs: number): AdviceQuestion | undefined {
        const isRetryTurn = this.callCount % RETRY_TURN === RETRY_TURN - 1;
        const mostRoom = findMostRoom(this.capacities);
        let prepared = 0;
        let fresh: AdviceQuestion | undefined;
        let retried: AdviceQuestion | undefined;
        for (const demand of this.unmet) {
            const mayHaveRoom = hasRoomFor(mostRoom, demand);
            if (!mayHaveRoom && prepared >= MAX_PREPARED_STEPS) {
                continue;
            }
            const advice = this.cache.getOrAddStep(demand.waiting[0]);
            const isPrepared = advice.isAsked || advice.hasAnyTicket(nowMs);
            const mayPrepare = !isPrepared && prepared < MAX_PREPARED_STEPS;
            prepared += isPrepared ? 1 : 0;
            const isUseful = mayHaveRoom || mayPrepare;
            if (!isUseful || advice.isAsked || nowMs < advice.nextCallAtMs || !isWaiting(demand)) {
                continue;
            }
            const question = this.buildQuestion(demand, advice, mayPrepare, nowMs);
            if (question === undefined) {
                continue;
            }
            prepared += isPrepared ? 0 : 1;
            if (question.isRetry) {
                retried ??= question;
            }
            else {
                fresh ??= question;
            }
            if (isRetryTurn ? retried !== undefined : fresh !== undefined) {
                break;
            }
        }
        return isRetryTurn ? retried ?? fresh : fresh ?? retried;
    }

    /** @param mayPrepare Whether tickets are worth having before there is room. */
    private buildQuestion(
        demand: StepDemand,
        advice: StepAdvice,
        mayPrepare: boolean,
        nowMs: number,
    ): AdviceQuestion | undefined {
        const { step } = demand;
        const policy = step.occurrence.job.queue.advice;
        const listed = listAdviceWorkers(demand, advice, this.capacities, this.namedCount, nowMs);
        if (policy === undefined || listed.missing.length === 0 || !(listed.hasMissingRoom || mayPrepare)) {
            advice.nextCallAtMs = nowMs + NEXT_LOOK_MS;
            return undefined;
        }
        const isHeldElsewhere = listed.hasTicketedRoom && !step.spec.gang;
        const isRetry = advice.fruitlessCalls > 0 || isHeldElsewhere;
        return { demand, advice, policy, workers: listed.missing, isRetry };
    }

    private async sendCall({ demand, advice, policy, workers }: AdviceQuestion): Promise<void> {
        const { clock, metrics } = this.parts;
        const isCrowded = this.unmet.length > MAX_PREPARED_STEPS;
        const size = this.callSize.chooseSize(policy, workers, demand.waiting.length, isCrowded);
        const named = workers.slice(0, size).map(({ workerId }) => workerId);
        const lives = new Map(named.map(workerId => [workerId, this.getLife(workerId)]));
        const serviceMs = policy.decideMs + policy.eachMs * named.length;
        const { jobId, occurrence, step } = demand.waiting[0].ref;
        const sentAtMs = clock.getNow();
        this.callsUnderWay++;
        this.callCount++;
        advice.isAsked = true;
        this.namedCount += named.length;
        const timeoutMs = Math.round(this.timeout.currentMs + 2 * serviceMs);
        const answer = await this.parts.advice.requestTickets(jobId, occurrence, step, named, timeoutMs);
        const nowMs = clock.getNow();
        metrics.recordDuration("advice_call", nowMs - sentAtMs);
        this.callsUnderWay--;
        advice.isAsked = false;
        if (answer.tickets === undefined) {
            this.noteFailure(demand, advice, named.length, nowMs - sentAtMs, timeoutMs);
        }
        else {
            const permitted = readTickets(answer, policy, lives, sentAtMs + serviceMs, nowMs);
            this.callSize.noteAnswer(named.length, permitted.size);
            this.noteAnswer(nowMs - sentAtMs);
            advice.applyAnswer(named, permitted, named.length === workers.length, nowMs);
            const fields = { asked: named.length, good: permitted.size, tookMs: Math.round(nowMs - sentAtMs) };
            this.parts.logger.info("advice-taken", { step: describeStep(demand), ...fields });
            this.wake();
        }
        this.sendCalls();
    }

    private noteAnswer(tookMs: number): void {
        this.timeout.noteAnswer(tookMs);
        if (this.consecutiveFailures > 0) {
            this.parts.logger.info("advice-regained", { failures: this.consecutiveFailures });
        }
        this.consecutiveFailures = 0;
    }

    /** Pauses all calls: after a failure, the service may be down, or busy with calls that it was sent before. */
    private noteFailure(
        demand: StepDemand,
        advice: StepAdvice,
        asked: number,
        tookMs: number,
        timeoutMs: number,
    ): void {
        const { clock, metrics, logger } = this.parts;
        const nowMs = clock.getNow();
        const hasTimedOut = tookMs >= timeoutMs;
        metrics.count("advice_failures_total", hasTimedOut ? "timeout" : "refused");
        if (this.consecutiveFailures === 0) {
            const fields = { asked, tookMs: Math.round(tookMs), timeoutMs };
            logger.warn("advice-failed", { step: describeStep(demand), ...fields });
        }
        if (hasTimedOut) {
            this.timeout.noteTimeout();
            this.callSize.noteTimeout();
        }
        const pauseMs = FIRST_FAILURE_PAUSE_MS * 2 ** Math.min(10, this.consecutiveFailures);
        this.pausedUntilMs = nowMs + Math.min(MAX_FAILURE_PAUSE_MS, pauseMs);
        this.consecutiveFailures++;
        advice.noteFailure(nowMs);
    }

    private dropUnused(): void {
        const nowMs = this.parts.clock.getNow();
        if (nowMs - this.droppedAtMs >= DROP_INTERVAL_MS) {
            this.droppedAtMs = nowMs;
            this.cache.dropUnused(new Set(this.unmet.map(({ waiting }) => this.cache.getOrAddStep(waiting[0]))));
        }
    }
}

/**
 * Reads the tickets of an answer.
 *
 * @param lives When the lives began that the workers had when they were asked about, by the worker's id.
 * @param issuedAtMs When the service can have issued the tickets at the earliest, in steady milliseconds.
 */
function readTickets(
    answer: AdviceAnswer,
    policy: AdvicePolicy,
    lives: ReadonlyMap<string, number>,
    issuedAtMs: number,
    nowMs: number,
): ReadonlyMap<string, HeldTicket> {
    const validMs = answer.validMs > 0 ? answer.validMs : policy.validMs;
    const untilMs = Math.min(issuedAtMs, nowMs) + validMs;
    const plannableUntilMs = untilMs - Math.min(TICKET_MARGIN_MS, validMs * MAX_MARGIN_SHARE);
    const tickets = answer.tickets ?? [];
    return new Map(
        tickets.flatMap(({ workerId, ticket }) => {
            const bornMs = lives.get(workerId);
            const held = {
                ticket,
                bornMs: bornMs ?? 0,
                plannableUntilMs: Math.max(plannableUntilMs, nowMs + MIN_TRY_MS),
                untilMs: Math.max(untilMs, nowMs + MIN_TRY_MS + TICKET_MARGIN_MS),
            };
            return bornMs === undefined ? [] : [[workerId, held] as const];
        }),
    );
}

/** The most room that any worker has, by kind of capacity. */
function findMostRoom(capacities: readonly WorkerCapacity[]) {
    let cpuMillis = -1;
    let memoryMb = -1;
    for (const { startsLeft, freeCpuMillis, freeMemoryMb } of capacities) {
        if (startsLeft > 0) {
            cpuMillis = Math.max(cpuMillis, freeCpuMillis);
            memoryMb = Math.max(memoryMb, freeMemoryMb);
        }
    }
    return { cpuMillis, memoryMb };
}

function hasRoomFor(room: { readonly cpuMillis: number; readonly memoryMb: number }, { step }: StepDemand): boolean {
    const { spec } = step;
    return room.memoryMb >= spec.memoryMb && (spec.isBestEffort || room.cpuMillis >= spec.cpuMillis);
}

/** Whether a task of the demand still waits: the round that has listed it may be a while ago. */
function isWaiting({ step, waiting }: StepDemand): boolean {
    return !step.occurrence.job.isFinished
        && waiting.some(task => !task.isActive && task.phase !== TaskPhase.Done);
}

function describeStep({ waiting }: StepDemand): string {
    return formatTaskKey(waiting[0].ref);
}
