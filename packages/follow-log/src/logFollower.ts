import type { LogPage, LogPort, LogRecord } from "@sardinestage/call-platform";
import type { StageError } from "@sardinestage/errors";
import { setTimeout as sleep } from "node:timers/promises";

/** Log stream, timing and handlers of a follower. */
interface LogFollowerOptions {
    readonly log: LogPort;
    readonly stream: string;
    /** How long a read waits at the end of the stream, in milliseconds. */
    readonly waitMs: number;
    /** Pause after a failed read, in milliseconds. */
    readonly retryMs: number;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    /** Called for each record, in order. */
    readonly applyRecord: (record: LogRecord) => void;
    /** Called when retention dropped unread records. State must be rebuilt from the oldest record left. */
    readonly handleGap: () => void;
    /** Called after each failed read. */
    readonly handleFailure: (failure: StageError) => void;
}

/** Reads one stream of the log in order, from its oldest record until stopped. */
export class LogFollower {
    private nextOffset = 0;
    private freshAtMs = Number.NEGATIVE_INFINITY;
    private readonly recordWaiters = new Map<string, Set<(offset: number) => void>>();
    private headWaiters: (() => void)[] = [];
    private readonly stopped = new AbortController();

    constructor(private readonly options: LogFollowerOptions) {}

    /** Reads until {@link stop} is called. */
    async follow(): Promise<void> {
        while (!this.stopped.signal.aborted) {
            const sentAtMs = this.options.now();
            const page = await this.options.log.read(this.options.stream, this.nextOffset, this.options.waitMs);
            if (page.ok) {
                this.applyPage(page.val, sentAtMs);
            }
            else {
                this.options.handleFailure(page.val);
                await this.waitAfterFailure();
            }
        }
    }

    /** Stops reading after the read in progress. */
    stop(): void {
        this.stopped.abort();
    }

    /**
     * Returns when the newest read that reached the end of the stream was sent. State is at least as new as this time.
     *
     * @returns Monotonic milliseconds; minus infinity before the first such read.
     */
    getFreshAtMs(): number {
        return this.freshAtMs;
    }

    /** Waits until a read sent after this call has reached the end of the stream. */
    async waitForHead(): Promise<void> {
        const sentAfterMs = this.options.now();
        while (this.freshAtMs < sentAfterMs) {
            await new Promise<void>(resolve => this.headWaiters.push(resolve));
        }
    }

    /**
     * Waits until a record has been read back.
     *
     * @param id The record's id.
     * @returns Its offset.
     */
    waitForRecord(id: string): Promise<number> {
        return new Promise(resolve => {
            const waiters = this.recordWaiters.get(id) ?? new Set();
            waiters.add(resolve);
            this.recordWaiters.set(id, waiters);
        });
    }

    private applyPage(page: LogPage, sentAtMs: number): void {
        if (page.oldest > this.nextOffset && this.nextOffset > 0) {
            this.options.handleGap();
        }
        for (const record of page.records) {
            this.options.applyRecord(record);
            this.recordWaiters.get(record.id)?.forEach(resolve => resolve(record.offset));
            this.recordWaiters.delete(record.id);
        }
        this.nextOffset = page.next;
        if (page.atHead) {
            this.freshAtMs = sentAtMs;
            const waiters = this.headWaiters;
            this.headWaiters = [];
            waiters.forEach(resolve => resolve());
        }
    }

    private async waitAfterFailure(): Promise<void> {
        try {
            await sleep(this.options.retryMs, undefined, { signal: this.stopped.signal });
        }
        catch {
            // `stop` was called during the pause; the loop checks for this next.
        }
    }
}
