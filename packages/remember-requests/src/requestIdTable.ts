import { IdCheckResult } from "./idCheckResult.js";
import { readIdTime } from "./readIdTime.js";

/** Limits and clock of the table of request ids. */
interface RequestIdTableOptions {
    /** How long ids are kept, in milliseconds. */
    readonly keepMs: number;
    /** Largest difference between the clocks of callers and VMs, in milliseconds. */
    readonly clockSkewMs: number;
    /** Largest number of ids kept. */
    readonly maxIds: number;
    /** Current time in Unix milliseconds. */
    readonly now: () => number;
}

/**
 * Remembers the ids of non-idempotent requests that this process or one of its peers has admitted, so that a duplicate
 * is refused. The table is complete for ids created after the start of this process and within `keepMs`; an older id is
 * answered with `TooOld`, because it may have been admitted without being in the table.
 */
export class RequestIdTable {
    /** Unix milliseconds at which each id was added; oldest first. */
    private readonly addedAtMsById = new Map<string, number>();
    /** Ids created from here on are all in the table, until they expire; Unix milliseconds. */
    private readonly completeSinceMs: number;

    constructor(private readonly options: RequestIdTableOptions) {
        this.completeSinceMs = options.now() + options.clockSkewMs;
    }

    /** Checks an id, and remembers it if its request may run. */
    remember(id: string): IdCheckResult {
        const result = this.checkId(id);
        if (result === IdCheckResult.Fresh) {
            this.addedAtMsById.set(id, this.options.now());
        }
        return result;
    }

    /** Removes an id whose request certainly did not run, so that the caller can retry with the same id. */
    drop(id: string): void {
        this.addedAtMsById.delete(id);
    }

    /** Returns the number of ids kept. */
    getCount(): number {
        return this.addedAtMsById.size;
    }

    private checkId(id: string): IdCheckResult {
        const { now, keepMs, clockSkewMs, maxIds } = this.options;
        const createdAtMs = readIdTime(id);
        this.expire();
        if (createdAtMs === undefined) {
            return IdCheckResult.Malformed;
        }
        if (this.addedAtMsById.has(id)) {
            return IdCheckResult.Known;
        }
        if (createdAtMs > now() + clockSkewMs) {
            return IdCheckResult.FromFuture;
        }
        if (createdAtMs < Math.max(this.completeSinceMs, now() - keepMs + clockSkewMs)) {
            return IdCheckResult.TooOld;
        }
        return this.addedAtMsById.size >= maxIds ? IdCheckResult.TableFull : IdCheckResult.Fresh;
    }

    private expire(): void {
        const oldestKeptMs = this.options.now() - this.options.keepMs - this.options.clockSkewMs;
        for (const [id, addedAtMs] of this.addedAtMsById) {
            if (addedAtMs >= oldestKeptMs) {
                return;
            }
            this.addedAtMsById.delete(id);
        }
    }
}
