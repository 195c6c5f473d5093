import type { RenewOrder, WorkerPort, WorkerReport } from "@sardinestage/call-platform";
import { ErrorKind } from "@sardinestage/errors";

interface WorkerLeaseOptions {
    readonly port: WorkerPort;
    /** Identifies this run of the process, so that a restarted process is another lease holder. */
    readonly holder: string;
    readonly ttlMs: number;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

/** This process's lease on one worker: its token, its expiry, and since when the worker has not answered. */
export class WorkerLease {
    private token: number | undefined;
    private untilMs = 0;
    private silentSinceMs: number | undefined;

    constructor(private readonly options: WorkerLeaseOptions) {}

    /** The token while the lease is certainly valid, else `undefined`. */
    getToken(): number | undefined {
        return this.options.now() < this.untilMs ? this.token : undefined;
    }

    /**
     * When the first call without an answer was sent, in monotonic milliseconds; `undefined` when the worker answers.
     */
    getSilentSinceMs(): number | undefined {
        return this.silentSinceMs;
    }

    /**
     * Tries to acquire the lease.
     *
     * @returns The token, or `undefined` when the lease is held by another process or the worker does not answer.
     */
    async acquire(): Promise<number | undefined> {
        const { port, holder, ttlMs, now } = this.options;
        const sentAtMs = now();
        const acquired = await port.acquireLease(holder, ttlMs);
        if (acquired.ok) {
            this.token = acquired.val;
            this.untilMs = sentAtMs + ttlMs;
        }
        this.noteAnswer(acquired.ok || acquired.val.kind === ErrorKind.LeaseHeld, sentAtMs);
        return this.getToken();
    }

    /**
     * Renews the lease.
     *
     * @returns The worker's report, or `undefined` when the worker does not answer or refuses the token as stale.
     */
    async renew(token: number, order: Omit<RenewOrder, "ttlMs">): Promise<WorkerReport | undefined> {
        const { port, ttlMs, now } = this.options;
        const sentAtMs = now();
        const report = await port.renewLease(token, { ttlMs, ...order });
        const stale = report.err && report.val.kind === ErrorKind.StaleToken;
        if (report.ok) {
            this.untilMs = sentAtMs + ttlMs;
        }
        else if (stale) {
            this.drop();
        }
        this.noteAnswer(report.ok || stale, sentAtMs);
        return report.ok ? report.val : undefined;
    }

    /** Releases the lease. */
    async release(): Promise<void> {
        const token = this.token;
        this.drop();
        if (token !== undefined) {
            await this.options.port.releaseLease(token);
        }
    }

    private drop(): void {
        this.token = undefined;
        this.untilMs = 0;
    }

    private noteAnswer(answered: boolean, sentAtMs: number): void {
        this.silentSinceMs = answered ? undefined : this.silentSinceMs ?? sentAtMs;
    }
}
