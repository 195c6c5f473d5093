import type { ConnectionGrant } from "./connectionGrant.js";
import type { GrantReport } from "./grantReport.js";
import type { ReplicaEndpoint } from "./replicaEndpoint.js";

/** Limits of grants. */
interface GrantLedgerOptions {
    readonly ttlMs: number;
    /** How long a request can stay open after its grant has expired, in milliseconds. */
    readonly maxDeadlineMs: number;
    readonly clockMarginMs: number;
}

/** A grant whose requests may still be open. */
interface Outstanding {
    /** Highest number of requests that the entry may have open. */
    limit: number;
    /** When all requests of the grant are certainly over, in monotonic milliseconds. */
    expiresAtMs: number;
}

/** A worker whose lease this process holds. */
interface HeldWorker {
    readonly token: number;
    readonly connections: number;
    /**
     * Until when grants of an earlier holder may be in use, in monotonic milliseconds. Until then, entries are only
     * granted the limits that they report.
     */
    earlierGrantsUntilMs: number;
    readonly openedAtMs: number;
    /** Number of pulls by each entry since the worker's lease was acquired. */
    readonly pulls: Map<string, number>;
    /** Outstanding grants by entry, then by service. */
    readonly outstanding: Map<string, Map<string, Outstanding>>;
}

/**
 * The answer to an entry's first pull carries the new token. Its second pull shows that it has received the token, and
 * so no longer uses grants with an older one.
 */
const PULLS_UNTIL_TOKEN_KNOWN = 2;

/**
 * Divides the connections of each worker that this process holds among the entries. The sum of the limits never exceeds
 * the worker's connections. A lowered limit therefore counts at its old value until the entry reports the new one.
 * After a takeover of the worker, no new connections are granted until every entry has reported or all earlier grants
 * have certainly expired.
 */
export class GrantLedger {
    private readonly workers = new Map<string, HeldWorker>();

    constructor(private readonly options: GrantLedgerOptions) {}

    /**
     * Starts granting connections of a worker.
     *
     * @param takenOver Whether an earlier holder may have granted connections of the worker.
     */
    openWorker(worker: string, token: number, connections: number, takenOver: boolean, nowMs: number): void {
        const { ttlMs, maxDeadlineMs, clockMarginMs } = this.options;
        const earlierGrantsUntilMs = takenOver ? nowMs + ttlMs + maxDeadlineMs + clockMarginMs : nowMs;
        this.workers.set(worker, {
            token,
            connections,
            earlierGrantsUntilMs,
            openedAtMs: nowMs,
            pulls: new Map(),
            outstanding: new Map(),
        });
    }

    /** Stops granting connections of a worker. */
    closeWorker(worker: string): void {
        this.workers.delete(worker);
    }

    /** Highest number of requests for a service that may be open at a worker now. */
    getOutstanding(worker: string, service: string): number {
        const held = this.workers.get(worker);
        let sum = 0;
        for (const services of held?.outstanding.values() ?? []) {
            sum += services.get(service)?.limit ?? 0;
        }
        return sum;
    }

    /** Whether requests under grants of an earlier holder may still be open at a worker. */
    hasEarlierGrants(worker: string, nowMs: number): boolean {
        return nowMs < (this.workers.get(worker)?.earlierGrantsUntilMs ?? 0);
    }

    /**
     * Processes an entry's reports and returns its grants.
     *
     * @param entry The entry that pulls.
     * @param entries All entries of the failure domain.
     * @param reports The grants that the entry holds.
     * @param endpoints Replicas that accept requests now.
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
            this.recordReports(held, entry, reports.filter(report => report.worker === worker), nowMs);
            held.pulls.set(entry, (held.pulls.get(entry) ?? 0) + 1);
            this.updateEarlierGrants(held, entries, nowMs);
        }
        return endpoints.flatMap(endpoint => {
            const grant = this.allocateGrant(entry, entries, reports, endpoint, endpoints, nowMs);
            return grant === undefined ? [] : [grant];
        });
    }

    /**
     * Ends the waiting time after a takeover once every listed entry has pulled often enough. It lasts at least a
     * grant's time to live, within which an entry that the VM list does not contain yet reports by itself.
     */
    private updateEarlierGrants(held: HeldWorker, entries: readonly string[], nowMs: number): void {
        const reported = entries.every(each => (held.pulls.get(each) ?? 0) >= PULLS_UNTIL_TOKEN_KNOWN);
        if (reported && nowMs - held.openedAtMs >= this.options.ttlMs) {
            held.earlierGrantsUntilMs = Math.min(held.earlierGrantsUntilMs, nowMs);
        }
    }

    private recordReports(held: HeldWorker, entry: string, reports: readonly GrantReport[], nowMs: number): void {
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
        const current = held.outstanding.get(entry)?.get(service);
        const free = held.connections - this.computeOutstandingSum(held) + (current?.limit ?? 0);
        const endpointsOnWorker = endpoints.filter(each => each.worker === worker).length;
        const serviceLimit = Math.min(Math.floor(held.connections / endpointsOnWorker), concurrency);
        // Each entry gets at least one connection while there are enough, since it could not reach the service
        // otherwise.
        const fairLimit = Math.max(1, Math.floor(serviceLimit / Math.max(1, entries.length)));
        const reported = reports.find(report => report.worker === worker && report.service === service)?.limit ?? 0;
        const wanted = nowMs < held.earlierGrantsUntilMs ? reported : fairLimit;
        const limit = Math.max(0, Math.min(free, wanted));
        const outstanding = { limit: Math.max(limit, current?.limit ?? 0), expiresAtMs: this.computeExpiry(nowMs) };
        held.outstanding.get(entry)?.set(service, outstanding);
        return { worker, token: held.token, service, address, port, limit, ttlMs: this.options.ttlMs };
    }

    private computeExpiry(nowMs: number): number {
        return nowMs + this.options.ttlMs + this.options.maxDeadlineMs + this.options.clockMarginMs;
    }

    private computeOutstandingSum(held: HeldWorker): number {
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
