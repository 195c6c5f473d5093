import type { AddressTotals } from "./addressTotals.js";
import type { CallerLimits } from "./callerLimits.js";
import type { ConnectionAccount } from "./connectionAccount.js";

/** A connection that made no progress for so long is closed before those that make progress. */
const STALLED_MS = 1000;

/**
 * Counts what callers hold of this process, and decides which connection to close or which request to refuse when a
 * limit is exceeded: one of the address that holds the most, since a caller may open many connections.
 */
export class CallerBudget {
    private readonly accounts = new Set<ConnectionAccount>();
    private readonly addresses = new Map<string, AddressTotals>();
    private progress = 0;
    private nowMs = 0;
    private heldBytes = 0;
    private openBytes = 0;
    private openRequests = 0;

    constructor(private readonly limits: CallerLimits) {}

    /** Advances the clock. The server calls it by its own steps, so that a blocked event loop isn't taken for silence. */
    updateClock(elapsedMs: number): void {
        this.nowMs += elapsedMs;
    }

    /** Adds a connection. */
    openAccount(address: string): ConnectionAccount {
        const known = this.addresses.get(address);
        const totals = known ?? { address, connections: 0, heldBytes: 0, openBytes: 0, openRequests: 0 };
        this.addresses.set(address, totals);
        totals.connections++;
        const account = { totals, isOpen: true, heldBytes: 0, openRequests: 0, lastProgress: 0, lastProgressMs: 0 };
        this.noteProgress(account);
        this.accounts.add(account);
        return account;
    }

    /** Removes a connection and the bytes that it held. Its admitted requests count until they are released. */
    closeAccount(account: ConnectionAccount): void {
        if (account.isOpen) {
            this.holdBytes(account, -account.heldBytes);
            account.isOpen = false;
            account.totals.connections--;
            this.accounts.delete(account);
            this.dropUnused(account.totals);
        }
    }

    /** Notes that the connection sent or read something. */
    noteProgress(account: ConnectionAccount): void {
        account.lastProgress = ++this.progress;
        account.lastProgressMs = this.nowMs;
    }

    /** Changes the bytes that a connection holds and that closing it frees. No effect on a closed one. */
    holdBytes(account: ConnectionAccount, change: number): void {
        if (account.isOpen) {
            account.heldBytes += change;
            account.totals.heldBytes += change;
            this.heldBytes += change;
        }
    }

    /**
     * Admits a complete request, or refuses it. A caller may use as much as all others leave free, so that one alone
     * leaves half for others; a caller without open requests is admitted to what is left.
     *
     * @param bytes Bytes that the request holds until it is released.
     */
    admitRequest(account: ConnectionAccount, bytes: number): boolean {
        const { totals } = account;
        const freeRequests = this.limits.maxOpenRequests - this.openRequests;
        const freeBytes = this.limits.maxHeldBytes - this.openBytes;
        const isFirst = totals.openRequests === 0;
        const isWithinShare = totals.openRequests < freeRequests && totals.openBytes + bytes <= freeBytes;
        if (freeRequests <= 0 || bytes > freeBytes || !isFirst && !isWithinShare) {
            return false;
        }
        account.openRequests++;
        this.updateOpen(totals, 1, bytes);
        return true;
    }

    /** Releases an admitted request with the bytes it was admitted with. */
    releaseRequest(account: ConnectionAccount, bytes: number): void {
        account.openRequests--;
        this.updateOpen(account.totals, -1, -bytes);
        this.dropUnused(account.totals);
    }

    /**
     * Finds the connection to close when there are too many: of the address with the most, an idle one first, and the
     * one without progress for the longest.
     *
     * @returns Undefined while the limit is kept.
     */
    findSurplusConnection(): ConnectionAccount | undefined {
        if (this.accounts.size <= this.limits.maxConnections) {
            return undefined;
        }
        return this.findFirst((one, other) =>
            other.totals.connections - one.totals.connections
            || Number(isInUse(one)) - Number(isInUse(other))
            || one.lastProgress - other.lastProgress
        );
    }

    /**
     * Finds the connection to close when too many bytes are held: of the address that holds the most, the one without
     * progress for the longest. Connections that stand still go first, so that callers with addresses of their own, who
     * each hold less than an ordinary caller that is sending, don't displace it.
     *
     * @returns Undefined while the limit is kept, or if no connection holds bytes that closing it would free.
     */
    findLargestHolder(): ConnectionAccount | undefined {
        if (this.heldBytes + this.openBytes <= this.limits.maxHeldBytes) {
            return undefined;
        }
        const holder = this.findFirst((one, other) =>
            Number(other.heldBytes > 0) - Number(one.heldBytes > 0)
            || Number(this.isSilent(other, STALLED_MS)) - Number(this.isSilent(one, STALLED_MS))
            || other.totals.heldBytes - one.totals.heldBytes
            || one.lastProgress - other.lastProgress
        );
        return holder === undefined || holder.heldBytes === 0 ? undefined : holder;
    }

    /** Whether a connection made no progress for so long. */
    isSilent(account: ConnectionAccount, timeoutMs: number): boolean {
        return this.nowMs - account.lastProgressMs >= timeoutMs;
    }

    /** Returns what is held now. */
    getUsage(): { readonly connections: number; readonly heldBytes: number; readonly openRequests: number } {
        return {
            connections: this.accounts.size,
            heldBytes: this.heldBytes + this.openBytes,
            openRequests: this.openRequests,
        };
    }

    /** Finds the open connection that comes first in an order, without the cost of sorting all. */
    private findFirst(
        compare: (one: ConnectionAccount, other: ConnectionAccount) => number,
    ): ConnectionAccount | undefined {
        let first: ConnectionAccount | undefined;
        for (const account of this.accounts) {
            if (first === undefined || compare(account, first) < 0) {
                first = account;
            }
        }
        return first;
    }

    private updateOpen(totals: AddressTotals, requests: number, bytes: number): void {
        totals.openRequests += requests;
        totals.openBytes += bytes;
        this.openRequests += requests;
        this.openBytes += bytes;
    }

    private dropUnused(totals: AddressTotals): void {
        if (totals.connections === 0 && totals.openRequests === 0) {
            this.addresses.delete(totals.address);
        }
    }
}

function isInUse(account: ConnectionAccount): boolean {
    return account.heldBytes > 0 || account.openRequests > 0;
}
