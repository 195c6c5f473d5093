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
    readonly byteBudget: ByteBudget;
    readonly metrics: Metrics;
    readonly now: () => number;
    readonly pickRandom: () => number;
}

/** Estimated size of a response. The byte budget is charged before the real size is known. */
const ASSUMED_ANSWER_BYTES = 2_048;
/** Time subtracted from the deadline for the network round trip, in milliseconds. */
const FORWARDING_MARGIN_MS = 50;

/** Forwards requests to entries of other failure domains. Traffic to another region is limited by the byte budget. */
export class DomainForwarder {
    constructor(private readonly options: DomainForwarderOptions) {}

    /** Lists the other failure domains configured to have replicas of a service, those of the same region first. */
    listDomains(service: string): string[] {
        const { config, settings, directory } = this.options;
        const spec = config.history.getCurrent().document.services.find(each => each.name === service);
        const regions = new Map(directory.listLiveEntryVms().map(vm => [vm.domain, vm.region]));
        const computeRegionDistance = (domain: string) => regions.get(domain) === settings.process.region ? 0 : 1;
        return Object.entries(spec?.replicas ?? {})
            .filter(([domain, count]) => count > 0 && domain !== settings.process.domain && regions.has(domain))
            .map(([domain]) => domain)
            .sort((a, b) => computeRegionDistance(a) - computeRegionDistance(b));
    }

    /**
     * Forwards a request to one of several failure domains.
     *
     * @param domains Tried in order. An idempotent request goes on to the next entry after any failure, a
     * non-idempotent one only if it has certainly not run. A streamed body is sent only once.
     * @param unreachable The refusal reason if no entry has answered and none may have run the request.
     * @param isReserved Whether this entry has reserved the request's id.
     */
    async forward(
        context: RequestContext,
        domains: readonly string[],
        unreachable: RefusalReason,
        isReserved: boolean,
    ): Promise<Reply> {
        const { metrics, byteBudget } = this.options;
        const bytes = (context.body.isWhole ? context.body.bytes.length : 0) + ASSUMED_ANSWER_BYTES;
        let lostReason: RefusalReason | undefined;
        for (const vm of domains.flatMap(domain => this.listEntryVms(domain))) {
            if (vm.region !== this.options.settings.process.region && !byteBudget.tryAcquire(bytes)) {
                return { isAnswer: false, reason: lostReason ?? RefusalReason.CrossDomainBudget };
            }
            const { end, reply } = await this.sendTo(vm, context, isReserved);
            metrics.count("forwards_total", end);
            if (reply !== undefined) {
                return reply;
            }
            if (end !== TryEnd.NotSent && end !== TryEnd.RefusedByTarget) {
                lostReason = end === TryEnd.Silent ? RefusalReason.TargetSilent : RefusalReason.TargetLost;
            }
            if (!context.body.isWhole || lostReason !== undefined && !context.isIdempotent) {
                break;
            }
        }
        // If the request may have run at one entry, a later refusal by another entry must not hide that.
        return { isAnswer: false, reason: lostReason ?? unreachable };
    }

    private sendTo(vm: VmRecord, context: RequestContext, isReserved: boolean) {
        const { settings, now } = this.options;
        const remainingMs = Math.floor(context.deadlineAtMs - now() - FORWARDING_MARGIN_MS);
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
            needsNewConnection: !isIdempotent,
            remainingMs,
            firstByteMs: Math.max(settings.routing.firstByteMs, remainingMs),
            idleMs: Math.max(settings.routing.idleMs, remainingMs),
            signal,
        });
    }

    private listEntryVms(domain: string): VmRecord[] {
        const entries = this.options.directory.listLiveEntryVms().filter(vm => vm.domain === domain);
        const first = Math.floor(this.options.pickRandom() * entries.length);
        return [...entries.slice(first), ...entries.slice(0, first)];
    }
}
