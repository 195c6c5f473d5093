import type { RenewOrder, WorkerPort, WorkerReport } from "@sardinestage/call-platform";
import { ErrorKind } from "@sardinestage/errors";

interface WorkerLeaseOptions {
    readonly port: WorkerPort;
    /** Names this process's life, so that a restarted process is another holder. */
    readonly holder: string;
    readonly ttlMs: number;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

/** This process's lease on one worker: held or not, under which token, and how long the worker has been silent. */
export class WorkerLease {
    private token: number | undefined;
    private untilMs = 0;
    private silentSinceMs: number | undefined;

    constructor(private readonly options: WorkerLeaseOptions) {}

    /** The token, while the lease certainly holds. */
    getToken(): number | undefined {
        return this.options.now() < this.untilMs ? this.token : undefined;
    }

    /** Since when the worker has not answered; `undefined` when it answers. */
    getSilentSinceMs(): number | undefined {
        return this.silentSinceMs;
    }

    /** Tries to take the lease. */
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

    /** Renews the lease; the worker's report when it answered. */
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

    /** Gives the lease back. */
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
