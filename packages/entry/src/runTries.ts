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

interface TriesView {
    readonly context: RequestContext;
    /** Counted as in flight already. */
    readonly first: Target;
    readonly settings: EntrySettings;
    readonly table: TargetTable;
    readonly metrics: Metrics;
    readonly latencies: LatencyWindow;
    readonly budget: RetryBudget;
    readonly now: () => number;
    /** Called when a target was given back. */
    readonly handleFreed: () => void;
}

interface TriesResult {
    readonly reply: Reply;
    readonly mayHaveRun: boolean;
}

/** Tries a request at one target after another, within the retry budget, until one answers. */
export async function runTries(view: TriesView): Promise<TriesResult> {
    const { context, settings, table, metrics, budget } = view;
    const tried = new Set<string>();
    let target: Target | undefined = view.first;
    let mayHaveRun = false;
    let last: TryResult = { end: TryEnd.NotSent };
    budget.recordFirstTry();
    for (let count = 1; target !== undefined; count++) {
        tried.add(target.worker);
        last = await sendWithHedge(view, target, tried);
        if (last.reply !== undefined) {
            return { reply: last.reply, mayHaveRun: true };
        }
        metrics.count("tries_failed_total", last.end);
        mayHaveRun ||= !isHarmless(last.end);
        const mayRetry = last.end !== TryEnd.Aborted
            && count < settings.retries.maxTries
            && view.now() < context.deadlineAtMs
            && context.body.isWhole
            && (context.isIdempotent || !mayHaveRun);
        target = mayRetry && budget.tryAcquire() ? table.tryAcquire(context.service, tried) : undefined;
        if (target !== undefined) {
            metrics.count("retries_total", last.end);
        }
    }
    return { reply: { isAnswer: false, reason: convertEnd(last.end, mayHaveRun) }, mayHaveRun };
}

/** No byte of the request ran anywhere. */
function isHarmless(end: TryEnd): boolean {
    return end === TryEnd.NotSent || end === TryEnd.RefusedByTarget;
}

function convertEnd(end: TryEnd, mayHaveRun: boolean): RefusalReason {
    if (!mayHaveRun) {
        return end === TryEnd.RefusedByTarget ? RefusalReason.TargetRefused : RefusalReason.NoTarget;
    }
    return end === TryEnd.Silent ? RefusalReason.TargetSilent : RefusalReason.TargetLost;
}

/** Sends to a target; when an idempotent request takes unusually long, to a second one too, and takes the faster. */
async function sendWithHedge(view: TriesView, target: Target, tried: Set<string>): Promise<TryResult> {
    const { context, latencies, settings } = view;
    const hedgeAfterMs = context.isIdempotent && context.body.isWhole
        ? latencies.readPercentile(settings.retries.hedgePercentile)
        : undefined;
    const first = startTry(view, target, tried.size > 1);
    if (hedgeAfterMs === undefined) {
        return first.ended;
    }
    const early = await waitAtMost(first.ended, hedgeAfterMs);
    const hedge = early === undefined ? startHedge(view, tried) : undefined;
    if (early !== undefined || hedge === undefined) {
        return first.ended;
    }
    const winner = await Promise.race([first.ended, hedge.ended]);
    const result = winner.reply === undefined ? await chooseOther(first, hedge, winner) : winner;
    first.abort();
    hedge.abort();
    return result;
}

interface StartedTry {
    readonly ended: Promise<TryResult>;
    readonly abort: () => void;
}

async function chooseOther(first: StartedTry, hedge: StartedTry, failed: TryResult): Promise<TryResult> {
    const [a, b] = await Promise.all([first.ended, hedge.ended]);
    return [a, b].find(each => each.reply !== undefined) ?? failed;
}

function startHedge(view: TriesView, tried: Set<string>): StartedTry | undefined {
    const { table, budget, metrics, context } = view;
    // A hedge takes a target only where one is free; it must not make others wait.
    const target = budget.tryAcquire() ? table.tryAcquire(context.service, tried) : undefined;
    if (target === undefined) {
        return undefined;
    }
    tried.add(target.worker);
    metrics.count("retries_total", "hedge");
    return startTry(view, target, true);
}

function startTry(view: TriesView, target: Target, isConnectionFresh: boolean): StartedTry {
    const aborter = new AbortController();
    const { context } = view;
    // A non-idempotent request is not given up when its caller goes away: its outcome should be a known one.
    const signal = context.isIdempotent ? AbortSignal.any([context.signal, aborter.signal]) : aborter.signal;
    return {
        ended: sendToTarget(view, target, isConnectionFresh || !context.isIdempotent, signal),
        abort: () => aborter.abort(),
    };
}

async function sendToTarget(
    view: TriesView,
    target: Target,
    isConnectionFresh: boolean,
    signal: AbortSignal,
): Promise<TryResult> {
    const { context, settings, table, latencies, metrics, now, handleFreed } = view;
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
        isConnectionFresh,
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
        handleFreed();
    };
    const rest = result.reply?.isAnswer ? result.reply.rest : undefined;
    if (rest !== undefined) {
        rest.once("close", release);
    }
    else if (isOverForTarget(result.end)) {
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
            return TargetUse.Unjudged;
        default:
            return TargetUse.Failed;
    }
}

/** Whether the target certainly has nothing open any more; what was given up on this side may be open on that. */
function isOverForTarget(end: TryEnd): boolean {
    return end === TryEnd.Answered || end === TryEnd.RefusedByTarget || end === TryEnd.NotSent;
}

function waitAtMost(ended: Promise<TryResult>, milliseconds: number): Promise<TryResult | undefined> {
    return new Promise(resolve => {
        const timer = setTimeout(() => resolve(undefined), milliseconds);
        void ended.then(result => {
            clearTimeout(timer);
            resolve(result);
        });
    });
}
