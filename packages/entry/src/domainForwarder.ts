import { RefusalReason } from "@sardinestage/admit-requests";
import type { Metrics } from "@sardinestage/count-metrics";
import type { ConfigFollower } from "@sardinestage/follow-config";
import type { ByteBudget } from "@sardinestage/route-requests";
import type { VmDirectory } from "@sardinestage/track-members";
import type { VmRecord } from "@sardinestage/types";
import type { EntrySettings } from "./entrySettings.js";
import { headerNames } from "./headerNames.js";
import type { Reply } from "./reply.js";
import type { RequestContext } from "./requestContext.js";
import { sendTry } from "./sendTry.js";
import { TryEnd } from "./tryEnd.js";

interface DomainForwarderOptions {
    readonly settings: EntrySettings;
    readonly directory: VmDirectory;
    readonly config: ConfigFollower;
    readonly budget: ByteBudget;
    readonly metrics: Metrics;
    readonly now: () => number;
    readonly pickRandom: () => number;
}

/** Assumed of an answer whose size isn't known when the budget is asked. */
const ASSUMED_ANSWER_BYTES = 2_048;
/** Kept back from the deadline for the way there and back, in milliseconds. */
const HOP_MARGIN_MS = 50;

/** Passes requests on to entries of other failure domains: same region first, within the byte budget. */
export class DomainForwarder {
    constructor(private readonly options: DomainForwarderOptions) {}

    /** Other failure domains in which a service is to have replicas, the nearest first. */
    listDomains(service: string): string[] {
        const { config, settings, directory } = this.options;
        const spec = config.history.getCurrent().document.services.find(each => each.name === service);
        const regions = new Map(directory.listLiveEntryVms().map(vm => [vm.domain, vm.region]));
        const isFar = (domain: string) => regions.get(domain) === settings.process.region ? 0 : 1;
        return Object.entries(spec?.replicas ?? {})
            .filter(([domain, count]) => count > 0 && domain !== settings.process.domain && regions.has(domain))
            .map(([domain]) => domain)
            .sort((a, b) => isFar(a) - isFar(b));
    }

    /**
     * Passes a request on to one of several failure domains.
     *
     * @param domains Tried in order while the request has certainly not run.
     * @param unreachable The reason given when none takes it.
     * @param isReserved Whether the request's id was reserved here.
     */
    async forward(
        context: RequestContext,
        domains: readonly string[],
        unreachable: RefusalReason,
        isReserved: boolean,
    ): Promise<Reply> {
        const { metrics, budget } = this.options;
        const bytes = (context.body.isWhole ? context.body.bytes.length : 0) + ASSUMED_ANSWER_BYTES;
        let lost: RefusalReason | undefined;
        for (const vm of domains.flatMap(domain => this.listEntries(domain))) {
            if (vm.region !== this.options.settings.process.region && !budget.tryAcquire(bytes)) {
                return { isAnswer: false, reason: lost ?? RefusalReason.CrossDomainBudget };
            }
            const { end, reply } = await this.sendTo(vm, context, isReserved);
            metrics.count("forwards_total", end);
            if (reply !== undefined) {
                return reply;
            }
            if (end !== TryEnd.NotSent && end !== TryEnd.RefusedByTarget) {
                lost = end === TryEnd.Silent ? RefusalReason.TargetSilent : RefusalReason.TargetLost;
            }
            if (!context.body.isWhole || lost !== undefined && !context.isIdempotent) {
                break;
            }
        }
        // What may have run in one place is never said not to have run because another place refused it.
        return { isAnswer: false, reason: lost ?? unreachable };
    }

    private sendTo(vm: VmRecord, context: RequestContext, isReserved: boolean) {
        const { settings, now } = this.options;
        const remainingMs = Math.floor(context.deadlineAtMs - now() - HOP_MARGIN_MS);
        const { requestId, isIdempotent, urgency, team, homeDomain, method, headers, body, path, signal } = context;
        return sendTry({
            url: `http://${vm.address}:${vm.servePort}${path}`,
            method,
            headers,
            extraHeaders: {
                [headerNames.peerKey]: settings.peers.key,
                [headerNames.forwardedTeam]: team,
                [headerNames.requestId]: requestId,
                [headerNames.idempotent]: String(isIdempotent),
                [headerNames.deadlineMs]: String(Math.max(1, remainingMs)),
                [headerNames.urgency]: String(urgency),
                [headerNames.reserved]: String(isReserved),
                ...(homeDomain === undefined ? {} : { [headerNames.homeDomain]: homeDomain }),
            },
            body,
            isConnectionFresh: !isIdempotent,
            remainingMs,
            firstByteMs: Math.max(settings.routing.firstByteMs, remainingMs),
            idleMs: Math.max(settings.routing.idleMs, remainingMs),
            signal,
        });
    }

    private listEntries(domain: string): VmRecord[] {
        const entries = this.options.directory.listLiveEntryVms().filter(vm => vm.domain === domain);
        const first = Math.floor(this.options.pickRandom() * entries.length);
        return [...entries.slice(first), ...entries.slice(0, first)];
    }
}
