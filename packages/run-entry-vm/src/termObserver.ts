import type { Clock } from "@sardinestage/describe-ports";
import type { TermLog, TermView } from "@sardinestage/keep-term";
import type { EntryVmRules } from "./entryVmRules.js";

/**
 * If two reads of the term are less than this apart, in milliseconds, a new record between them counts as written now.
 * Otherwise the age of the record comes from the time of day in it.
 */
const MAX_READ_GAP_MS = 1000;

/** Reads the term and tracks when the coordinator last renewed it and whether the store answers. */
export class TermObserver {
    /** When the coordinator last certainly had an answer from the store, in milliseconds of the monotonic clock. */
    private storeContactAtMs = -Infinity;
    /** Where the term's topic ended at the last read; it moves with each renewal. */
    private lastTopicEnd = -1;
    private lastRenewalAtMs = -Infinity;
    private lastReadAtMs = -Infinity;
    /** When the last read was sent, whatever its outcome, in milliseconds of the monotonic clock. */
    private lastSentAtMs = -Infinity;
    /** Since when all reads have succeeded, in milliseconds of the monotonic clock; Infinity after a failed read. */
    private storeAvailableSinceMs = Infinity;
    /** When the last read failed, in milliseconds of the monotonic clock; -Infinity once a read succeeds. */
    private readFailedAtMs = -Infinity;
    /** Duration of the last read that the store answered, in milliseconds. */
    storeLatencyMs = 0;

    constructor(
        private readonly termLog: TermLog,
        private readonly clock: Clock,
        private readonly rules: Pick<EntryVmRules, "maxRecordedAgeMs" | "wallClockToleranceMs">,
    ) {}

    /** Age of the coordinator's last renewal, as far as this process has read it, in milliseconds. */
    get renewalAgeMs(): number {
        return this.clock.getNow() - this.lastRenewalAtMs;
    }

    /** How long the store has answered all reads, in milliseconds; -Infinity after a failed read. */
    get storeAvailableMs(): number {
        return this.clock.getNow() - this.storeAvailableSinceMs;
    }

    /** Time since the last read failed, in milliseconds; Infinity if the store answered the last read. */
    get readFailureAgeMs(): number {
        return this.clock.getNow() - this.readFailedAtMs;
    }

    /** Time since the last read was sent, in milliseconds. */
    get readAgeMs(): number {
        return this.clock.getNow() - this.lastSentAtMs;
    }

    /** Reads the term. Returns undefined if the store doesn't answer. */
    async read(): Promise<TermView | undefined> {
        const { clock, termLog } = this;
        const sentAtMs = clock.getNow();
        this.lastSentAtMs = sentAtMs;
        const view = await termLog.readTerm();
        const nowMs = clock.getNow();
        if (view === undefined) {
            this.storeAvailableSinceMs = Infinity;
            this.readFailedAtMs = nowMs;
            return undefined;
        }
        this.readFailedAtMs = -Infinity;
        this.storeAvailableSinceMs = Math.min(this.storeAvailableSinceMs, nowMs);
        this.storeLatencyMs = nowMs - sentAtMs;
        if (view.end !== this.lastTopicEnd) {
            const isWatched = sentAtMs - this.lastReadAtMs < MAX_READ_GAP_MS;
            const ageMs = isWatched ? 0 : Math.abs(clock.getWallTime() - view.writtenAtMs);
            this.lastRenewalAtMs = nowMs - ageMs;
            // The record may have been written at any time since the last read, so only that time is certain.
            this.noteStoreContact(this.lastReadAtMs);
            this.lastTopicEnd = view.end;
        }
        this.lastReadAtMs = sentAtMs;
        return view;
    }

    /** Notes that the coordinator had an answer from the store at a time, in milliseconds of the monotonic clock. */
    noteStoreContact(atMs: number): void {
        this.storeContactAtMs = Math.max(this.storeContactAtMs, atMs);
    }

    /**
     * Whether the last coordinator has certainly recorded all its starts, because it had contact with the store so
     * recently that it can't have begun to start tasks without recording them. The time of day in the record has to be
     * recent as well: the store may carry out a renewal long after it was sent, and a monotonic clock stops while a
     * machine is suspended. Without a recent contact the limit is stricter, as the times of day of two VMs may differ.
     */
    isFullyRecorded(view: TermView): boolean {
        const { clock, rules } = this;
        const writtenMs = Math.abs(clock.getWallTime() - view.writtenAtMs);
        const isSeen = clock.getNow() - this.storeContactAtMs < rules.maxRecordedAgeMs;
        const withinMs = isSeen ? rules.maxRecordedAgeMs : rules.maxRecordedAgeMs - rules.wallClockToleranceMs;
        return !view.hasUnrecordedStarts && writtenMs < withinMs;
    }
}
