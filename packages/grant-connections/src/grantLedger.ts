import type { ConnectionGrant } from "./connectionGrant.js";
import type { GrantReport } from "./grantReport.js";
import type { ReplicaEndpoint } from "./replicaEndpoint.js";

/** Bounds of grants. */
interface GrantLedgerOptions {
    readonly ttlMs: number;
    /** Requests can stay open so long after their grant has lapsed. */
    readonly maxDeadlineMs: number;
    readonly clockMarginMs: number;
}

interface Outstanding {
    /** The most that the entry may have open. */
    limit: number;
    expiresAtMs: number;
}

interface HeldWorker {
    readonly token: number;
    readonly connections: number;
    /** Until then, only what entries report is granted again. */
    quietUntilMs: number;
    readonly openedAtMs: number;
    /** Pulls of each entry since the worker was taken over. */
    readonly pulls: Map<string, number>;
    /** By entry, then by service. */
    readonly outstanding: Map<string, Map<string, Outstanding>>;
}

/** An entry has been told of the new token once it has pulled twice, and then holds nothing of an older one. */
const PULLS_UNTIL_KNOWN = 2;

/**
 * Divides each held worker's connections among the entries. The sum of what entries may have open never exceeds what
 * the worker takes: a lowered limit counts at its old height until the entry reports the new one, and a worker that
 * was taken over grants nothing new until every entry has reported, or until all old grants have certainly lapsed.
 */
export class GrantLedger {
    private readonly workers = new Map<string, HeldWorker>();

    constructor(private readonly options: GrantLedgerOptions) {}

    /**
     * Begins to grant for a worker.
     *
     * @param takenOver Whether somebody may have granted for it before.
     */
    openWorker(worker: string, token: number, connections: number, takenOver: boolean, nowMs: number): void {
        const { ttlMs, maxDeadlineMs, clockMarginMs } = this.options;
        const quietUntilMs = takenOver ? nowMs + ttlMs + maxDeadlineMs + clockMarginMs : nowMs;
        this.workers.set(worker, {
            token,
            connections,
            quietUntilMs,
            openedAtMs: nowMs,
            pulls: new Map(),
            outstanding: new Map(),
        });
    }

    /** Ends granting for a worker. */
    closeWorker(worker: string): void {
        this.workers.delete(worker);
    }

    /** The most requests that may be open at a worker's replica of a service now. */
    getOutstanding(worker: string, service: string): number {
        const held = this.workers.get(worker);
        let sum = 0;
        for (const services of held?.outstanding.values() ?? []) {
            sum += services.get(service)?.limit ?? 0;
        }
        return sum;
    }

    /** Whether requests of a grant from before the take-over may still be open at a worker. */
    isQuiet(worker: string, nowMs: number): boolean {
        return nowMs < (this.workers.get(worker)?.quietUntilMs ?? 0);
    }

    /**
     * Takes an entry's report and answers with its grants.
     *
     * @param entry The entry that asks.
     * @param entries All entries of the failure domain.
     * @param reports What the entry holds.
     * @param endpoints Replicas that take requests now.
     * @param nowMs Monotonic time in milliseconds.
     */
    pullGrants(
        entry: string,
        entries: readonly string[],
        reports: readonly GrantReport[],
        endpoints: readonly ReplicaEndpoint[],
        nowMs: number,
    ): ConnectionGrant[] {
        for (const [worker, held] of this.workers) {
            this.expireOutstanding(held, nowMs);
            this.takeReports(held, entry, reports.filter(report => report.worker === worker), nowMs);
            held.pulls.set(entry, (held.pulls.get(entry) ?? 0) + 1);
            this.updateQuiet(held, entries, nowMs);
        }
        return endpoints.flatMap(endpoint => {
            const grant = this.allocateGrant(entry, entries, reports, endpoint, endpoints, nowMs);
            return grant === undefined ? [] : [grant];
        });
    }

    /** An entry that the lagging list doesn't name yet makes itself known within a grant's time to live. */
    private updateQuiet(held: HeldWorker, entries: readonly string[], nowMs: number): void {
        const reported = entries.every(each => (held.pulls.get(each) ?? 0) >= PULLS_UNTIL_KNOWN);
        if (reported && nowMs - held.openedAtMs >= this.options.ttlMs) {
            held.quietUntilMs = Math.min(held.quietUntilMs, nowMs);
        }
    }

    private takeReports(held: HeldWorker, entry: string, reports: readonly GrantReport[], nowMs: number): void {
        const services = new Map<string, Outstanding>();
        for (const report of reports) {
            const limit = Math.max(report.limit, report.inFlight);
            services.set(report.service, { limit, expiresAtMs: this.computeExpiry(nowMs) });
        }
        held.outstanding.set(entry, services);
    }

    private allocateGrant(
        entry: string,
        entries: readonly string[],
        reports: readonly GrantReport[],
        endpoint: ReplicaEndpoint,
        endpoints: readonly ReplicaEndpoint[],
        nowMs: number,
    ): ConnectionGrant | undefined {
        const { worker, service, address, port, concurrency } = endpoint;
        const held = this.workers.get(worker);
        if (held === undefined) {
            return undefined;
        }
        const mine = held.outstanding.get(entry)?.get(service);
        const free = held.connections - this.computeSum(held) + (mine?.limit ?? 0);
        const sharers = endpoints.filter(each => each.worker === worker).length;
        const together = Math.min(Math.floor(held.connections / sharers), concurrency);
        // Each entry gets at least one, as far as connections go, or a service would be out of its reach.
        const fair = Math.max(1, Math.floor(together / Math.max(1, entries.length)));
        const reported = reports.find(report => report.worker === worker && report.service === service)?.limit ?? 0;
        const wanted = nowMs < held.quietUntilMs ? reported : fair;
        const limit = Math.max(0, Math.min(free, wanted));
        const outstanding = { limit: Math.max(limit, mine?.limit ?? 0), expiresAtMs: this.computeExpiry(nowMs) };
        held.outstanding.get(entry)?.set(service, outstanding);
        return { worker, token: held.token, service, address, port, limit, ttlMs: this.options.ttlMs };
    }

    private computeExpiry(nowMs: number): number {
        return nowMs + this.options.ttlMs + this.options.maxDeadlineMs + this.options.clockMarginMs;
    }

    private computeSum(held: HeldWorker): number {
        let sum = 0;
        for (const services of held.outstanding.values()) {
            for (const { limit } of services.values()) {
                sum += limit;
            }
        }
        return sum;
    }

    private expireOutstanding(held: HeldWorker, nowMs: number): void {
        for (const services of held.outstanding.values()) {
            for (const [service, { expiresAtMs }] of services) {
                if (expiresAtMs <= nowMs) {
                    services.delete(service);
                }
            }
        }
    }
}
