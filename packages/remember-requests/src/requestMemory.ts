import { IdVerdict } from "./idVerdict.js";
import { readIdTime } from "./readIdTime.js";

interface RequestMemoryOptions {
    /** How long ids are kept, in milliseconds. */
    readonly keepMs: number;
    /** Largest difference between the clocks of callers and VMs, in milliseconds. */
    readonly clockSkewMs: number;
    readonly maxIds: number;
    /** Unix milliseconds. */
    readonly now: () => number;
}

/**
 * The ids of non-idempotent requests that this process let run or knows to have been let run by a peer. It knows all
 * ids made since its own start and within the time that it keeps them; of any other id it says that it can't know.
 */
export class RequestMemory {
    /** By id, when it was remembered; oldest first. */
    private readonly seen = new Map<string, number>();
    private readonly knowsSinceMs: number;

    constructor(private readonly options: RequestMemoryOptions) {
        this.knowsSinceMs = options.now() + options.clockSkewMs;
    }

    /** Remembers an id, if the request that carries it may run. */
    remember(id: string): IdVerdict {
        const verdict = this.checkId(id);
        if (verdict === IdVerdict.Fresh) {
            this.seen.set(id, this.options.now());
        }
        return verdict;
    }

    /** Forgets an id whose request certainly did not run, so that it can be tried again. */
    drop(id: string): void {
        this.seen.delete(id);
    }

    /** How many ids are kept. */
    getCount(): number {
        return this.seen.size;
    }

    private checkId(id: string): IdVerdict {
        const { now, keepMs, clockSkewMs, maxIds } = this.options;
        const madeAtMs = readIdTime(id);
        this.expire();
        if (madeAtMs === undefined) {
            return IdVerdict.Malformed;
        }
        if (this.seen.has(id)) {
            return IdVerdict.Known;
        }
        if (madeAtMs > now() + clockSkewMs) {
            return IdVerdict.FromFuture;
        }
        if (madeAtMs < Math.max(this.knowsSinceMs, now() - keepMs + clockSkewMs)) {
            return IdVerdict.TooOld;
        }
        return this.seen.size >= maxIds ? IdVerdict.TableFull : IdVerdict.Fresh;
    }

    private expire(): void {
        const limit = this.options.now() - this.options.keepMs - this.options.clockSkewMs;
        for (const [id, atMs] of this.seen) {
            if (atMs >= limit) {
                return;
            }
            this.seen.delete(id);
        }
    }
}
