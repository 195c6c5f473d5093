import type { RefusalReason as Reason } from "@sardinestage/admit-requests";
import { RefusalReason, ServiceQueue } from "@sardinestage/admit-requests";
import type { Metrics } from "@sardinestage/count-metrics";
import type { ConfigFollower } from "@sardinestage/follow-config";
import { LatencyWindow, RetryBudget, TargetUse } from "@sardinestage/route-requests";
import type { Target, TargetTable } from "@sardinestage/route-requests";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import type { DomainForwarder } from "./domainForwarder.js";
import type { EntrySettings } from "./entrySettings.js";
import type { IdReserver } from "./idReserver.js";
import type { Reply } from "./reply.js";
import type { RequestContext } from "./requestContext.js";
import { runTries } from "./runTries.js";

const { Err, Ok } = tsResults;

interface RequestRunnerOptions {
    readonly settings: EntrySettings;
    readonly table: TargetTable;
    readonly config: ConfigFollower;
    readonly reserver: IdReserver;
    readonly forwarder: DomainForwarder;
    readonly metrics: Metrics;
    readonly now: () => number;
}

/** This entry's state for one service. */
interface ServiceState {
    readonly queue: ServiceQueue<Target>;
    readonly latencies: LatencyWindow;
    readonly retryBudget: RetryBudget;
    /** Requests in flight, by team. */
    readonly inFlightByTeam: Map<string, number>;
}

const MEDIAN_PERCENTILE = 50;

/** Runs a checked request: waits for a target, reserves the request's id, tries targets, and returns the reply. */
export class RequestRunner {
    private readonly services = new Map<string, ServiceState>();

    constructor(private readonly options: RequestRunnerOptions) {}

    /**
     * Runs a request in this failure domain, or forwards it to another one. A non-idempotent request goes to its home
     * domain first, because only the entries there can reserve its id.
     */
    async run(context: RequestContext): Promise<Reply> {
        const { config, settings, table, forwarder } = this.options;
        const { service, homeDomain, isForwarded, isIdempotent } = context;
        if (!config.history.getCurrent().document.services.some(each => each.name === service)) {
            return { isAnswer: false, reason: RefusalReason.UnknownService };
        }
        if (!isIdempotent && homeDomain !== settings.process.domain && !context.isReserved) {
            return isForwarded
                ? { isAnswer: false, reason: RefusalReason.HomeUnreachable }
                : forwarder.forward(context, [homeDomain ?? ""], RefusalReason.HomeUnreachable, false);
        }
        const otherDomains = table.getCapacity(service) > 0 || isForwarded ? [] : forwarder.listDomains(service);
        return otherDomains.length > 0 ? this.runInOtherDomain(context, otherDomains) : this.runInOwnDomain(context);
    }

    /** Admits waiting requests while there are free targets. Called after each pull of grants. */
    admitWaiting(): void {
        for (const { queue } of this.services.values()) {
            queue.admitWaiting();
        }
    }

    private async runInOtherDomain(context: RequestContext, domains: readonly string[]): Promise<Reply> {
        const refusal = await this.reserveId(context);
        if (refusal !== undefined) {
            return { isAnswer: false, reason: refusal };
        }
        const reply = await this.options.forwarder.forward(context, domains, RefusalReason.NoTarget, true);
        if (
            !reply.isAnswer && reply.reason !== RefusalReason.TargetLost && reply.reason !== RefusalReason.TargetSilent
        ) {
            await this.releaseId(context);
        }
        return reply;
    }

    private async runInOwnDomain(context: RequestContext): Promise<Reply> {
        const state = this.getService(context.service);
        const acquired = await this.acquireTarget(state, context);
        if (acquired.err) {
            return { isAnswer: false, reason: acquired.val };
        }
        const refusal = await this.reserveId(context);
        if (refusal !== undefined) {
            this.options.table.release(acquired.val, TargetUse.Inconclusive);
            state.queue.admitWaiting();
            return { isAnswer: false, reason: refusal };
        }
        this.addInFlight(state, context.team, 1);
        try {
            const { settings, table, metrics, now } = this.options;
            const { latencies, retryBudget, queue } = state;
            const { reply, mayHaveRun } = await runTries({
                context,
                first: acquired.val,
                settings,
                table,
                metrics,
                latencies,
                retryBudget,
                now,
                handleRelease: () => queue.admitWaiting(),
            });
            if (!mayHaveRun) {
                await this.releaseId(context);
            }
            return reply;
        }
        finally {
            this.addInFlight(state, context.team, -1);
        }
    }

    private acquireTarget(state: ServiceState, context: RequestContext): Promise<Result<Target, Reason>> {
        const { team, urgency, deadlineAtMs, signal } = context;
        return new Promise(resolve => {
            const waiting = {
                team,
                urgency,
                deadlineAtMs,
                queuedAtMs: this.options.now(),
                admit: (target: Target) => resolve(Ok(target)),
                refuse: (reason: Reason) => resolve(Err(reason)),
            };
            signal.addEventListener("abort", () => {
                state.queue.cancel(waiting);
                resolve(Err(RefusalReason.DeadlinePassed));
            }, { once: true });
            state.queue.admit(waiting);
        });
    }

    private async reserveId(context: RequestContext): Promise<Reason | undefined> {
        return context.isIdempotent || context.isReserved
            ? undefined
            : this.options.reserver.reserve(context.requestId);
    }

    private async releaseId(context: RequestContext): Promise<void> {
        if (!context.isIdempotent && !context.isReserved) {
            await this.options.reserver.release(context.requestId);
        }
    }

    private getService(service: string): ServiceState {
        const known = this.services.get(service);
        if (known !== undefined) {
            return known;
        }
        const { settings, table, now } = this.options;
        const latencies = new LatencyWindow();
        const inFlightByTeam = new Map<string, number>();
        const queue = new ServiceQueue<Target>({
            ...settings.admission,
            tryAcquire: () => table.tryAcquire(service),
            getCapacity: () => table.getCapacity(service),
            estimateServiceMs: () => latencies.readPercentile(MEDIAN_PERCENTILE) ?? 0,
            computeGuaranteedShareUse: team =>
                this.computeGuaranteedShareUse(service, team, inFlightByTeam.get(team) ?? 0),
            now,
        });
        const state = { queue, latencies, retryBudget: new RetryBudget(settings.retries.budgetShare), inFlightByTeam };
        this.services.set(service, state);
        return state;
    }

    private computeGuaranteedShareUse(service: string, team: string, inFlight: number): number {
        const { config, table } = this.options;
        const quota = config.history.getCurrent().document.teams.find(each => each.team === team);
        const guaranteed = (quota?.guaranteedShare ?? 0) * table.getCapacity(service);
        return guaranteed === 0 ? Number.POSITIVE_INFINITY : inFlight / guaranteed;
    }

    private addInFlight(state: ServiceState, team: string, change: number): void {
        state.inFlightByTeam.set(team, (state.inFlightByTeam.get(team) ?? 0) + change);
    }
}
