import { RefusalReason } from "@sardinestage/admit-requests";
import type { Metrics } from "@sardinestage/count-metrics";
import type { LatencyWindow, RetryBudget, Target, TargetTable } from "@sardinestage/route-requests";
import { TargetUse } from "@sardinestage/route-requests";
import type { EntrySettings } from "./entrySettings.js";
import { headerNames } from "./headerNames.js";
import type { Reply } from "./reply.js";
import type { RequestContext } from "./requestContext.js";
import { sendTry } from "./sendTry.js";
import { TryEnd } from "./tryEnd.js";
import type { TryResult } from "./tryResult.js";

/** Request, first target and dependencies of {@link runTries}. */
interface TriesOptions {
    readonly context: RequestContext;
    /** The first target, already counted as in flight. */
    readonly first: Target;
    readonly settings: EntrySettings;
    readonly table: TargetTable;
    readonly metrics: Metrics;
    readonly latencies: LatencyWindow;
    readonly retryBudget: RetryBudget;
    readonly now: () => number;
    /** Called after a target has been released. */
    readonly handleRelease: () => void;
}

interface TriesResult {
    readonly reply: Reply;
    /** Whether a target may have run the request; if not, the request's id can be released. */
    readonly mayHaveRun: boolean;
}

/**
 * Sends a request to one target after another until one answers. Stops at the limit of tries, at the deadline, or when
 * the retry budget is used up. A non-idempotent request is retried only if no target can have run it,
 * a request with a streamed body never.
 */
export async function runTries(options: TriesOptions): Promise<TriesResult> {
    const { context, settings, table, metrics, retryBudget } = options;
    const tried = new Set<string>();
    let target: Target | undefined = options.first;
    let mayHaveRun = false;
    let last: TryResult = { end: TryEnd.NotSent };
    retryBudget.recordFirstTry();
    for (let count = 1; target !== undefined; count++) {
        tried.add(target.worker);
        last = await sendWithHedge(options, target, tried);
        if (last.reply !== undefined) {
            return { reply: last.reply, mayHaveRun: true };
        }
        metrics.count("tries_failed_total", last.end);
        mayHaveRun ||= !hasNotRun(last.end);
        const mayRetry = last.end !== TryEnd.Aborted
            && count < settings.retries.maxTries
            && options.now() < context.deadlineAtMs
            && context.body.isWhole
            && (context.isIdempotent || !mayHaveRun);
        target = mayRetry && retryBudget.tryAcquire() ? table.tryAcquire(context.service, tried) : undefined;
        if (target !== undefined) {
            metrics.count("retries_total", last.end);
        }
    }
    return { reply: { isAnswer: false, reason: convertToReason(last.end, mayHaveRun) }, mayHaveRun };
}

/** Whether the target has certainly not run the request. */
function hasNotRun(end: TryEnd): boolean {
    return end === TryEnd.NotSent || end === TryEnd.RefusedByTarget;
}

function convertToReason(end: TryEnd, mayHaveRun: boolean): RefusalReason {
    if (!mayHaveRun) {
        return end === TryEnd.RefusedByTarget ? RefusalReason.TargetRefused : RefusalReason.NoTarget;
    }
    return end === TryEnd.Silent ? RefusalReason.TargetSilent : RefusalReason.TargetLost;
}

/**
 * Sends a request to a target. If an idempotent request takes longer than the hedge percentile of past latencies, sends
 * it to a second target too and takes the first answer.
 */
async function sendWithHedge(options: TriesOptions, target: Target, tried: Set<string>): Promise<TryResult> {
    const { context, latencies, settings } = options;
    const hedgeAfterMs = context.isIdempotent && context.body.isWhole
        ? latencies.readPercentile(settings.retries.hedgePercentile)
        : undefined;
    const first = startTry(options, target, tried.size > 1);
    if (hedgeAfterMs === undefined) {
        return first.ended;
    }
    const early = await waitAtMost(first.ended, hedgeAfterMs);
    const hedge = early === undefined ? startHedge(options, tried) : undefined;
    if (early !== undefined || hedge === undefined) {
        return first.ended;
    }
    const winner = await Promise.race([first.ended, hedge.ended]);
    const result = winner.reply === undefined ? await chooseAnswered(first, hedge, winner) : winner;
    first.abort();
    hedge.abort();
    return result;
}

/** A try in progress. */
interface StartedTry {
    readonly ended: Promise<TryResult>;
    readonly abort: () => void;
}

/** Waits for both tries after one has failed. Returns the one that answered, or the failed one if neither did. */
async function chooseAnswered(first: StartedTry, hedge: StartedTry, failed: TryResult): Promise<TryResult> {
    const [a, b] = await Promise.all([first.ended, hedge.ended]);
    return [a, b].find(each => each.reply !== undefined) ?? failed;
}

function startHedge(options: TriesOptions, tried: Set<string>): StartedTry | undefined {
    const { table, retryBudget, metrics, context } = options;
    // A hedge uses only a free target and never queues, so that it does not delay other requests.
    const target = retryBudget.tryAcquire() ? table.tryAcquire(context.service, tried) : undefined;
    if (target === undefined) {
        return undefined;
    }
    tried.add(target.worker);
    metrics.count("retries_total", "hedge");
    return startTry(options, target, true);
}

function startTry(options: TriesOptions, target: Target, needsNewConnection: boolean): StartedTry {
    const aborter = new AbortController();
    const { context } = options;
    // A non-idempotent request continues after its caller has disconnected, so that its outcome becomes known.
    const signal = context.isIdempotent ? AbortSignal.any([context.signal, aborter.signal]) : aborter.signal;
    return {
        ended: sendToTarget(options, target, needsNewConnection || !context.isIdempotent, signal),
        abort: () => aborter.abort(),
    };
}

async function sendToTarget(
    options: TriesOptions,
    target: Target,
    needsNewConnection: boolean,
    signal: AbortSignal,
): Promise<TryResult> {
    const { context, settings, table, latencies, metrics, now, handleRelease } = options;
    const startedAtMs = now();
    const remainingMs = context.deadlineAtMs - startedAtMs;
    const result = await sendTry({
        url: `http://${target.address}:${target.port}${context.path}`,
        method: context.method,
        headers: context.headers,
        extraHeaders: {
            [headerNames.requestId]: context.requestId,
            [headerNames.idempotent]: String(context.isIdempotent),
            [headerNames.deadlineMs]: String(Math.max(1, Math.floor(remainingMs))),
        },
        body: context.body,
        needsNewConnection,
        remainingMs,
        firstByteMs: settings.routing.firstByteMs,
        idleMs: settings.routing.idleMs,
        signal,
    });
    const latencyMs = now() - startedAtMs;
    const answered = result.end === TryEnd.Answered;
    if (answered) {
        latencies.record(latencyMs);
        metrics.recordDuration("target_answer", latencyMs);
    }
    const release = () => {
        table.release(target, convertToUse(result.end), latencyMs);
        handleRelease();
    };
    const rest = result.reply?.isAnswer ? result.reply.rest : undefined;
    if (rest !== undefined) {
        rest.once("close", release);
    }
    else if (isFinishedAtTarget(result.end)) {
        release();
    }
    else {
        setTimeout(release, settings.routing.lingerMs);
    }
    return result;
}

function convertToUse(end: TryEnd): TargetUse {
    switch (end) {
        case TryEnd.Answered:
        case TryEnd.RefusedByTarget:
            return TargetUse.Answered;
        case TryEnd.Aborted:
            return TargetUse.Inconclusive;
        default:
            return TargetUse.Failed;
    }
}

/**
 * Whether the target has certainly finished with the request. A request that this side has abandoned may still be open
 * at the target, so its capacity is released only after `lingerMs`.
 */
function isFinishedAtTarget(end: TryEnd): boolean {
    return end === TryEnd.Answered || end === TryEnd.RefusedByTarget || end === TryEnd.NotSent;
}

/** Waits for a try for at most the given time. Resolves to `undefined` on timeout. */
function waitAtMost(ended: Promise<TryResult>, milliseconds: number): Promise<TryResult | undefined> {
    return new Promise(resolve => {
        const timer = setTimeout(() => resolve(undefined), milliseconds);
        void ended.then(result => {
            clearTimeout(timer);
            resolve(result);
        });
    });
}
