import type { Clock } from "@sardinestage/describe-ports";
import type { TermLog, TermView } from "@sardinestage/keep-term";
import type { EntryVmRules } from "./entryVmRules.js";

/** Two looks at the term that are no further apart show when a renewal came, in milliseconds. */
const MAX_READ_GAP_MS = 1000;

/** Reads the term, and remembers what that says of the coordinator's renewals and of the store. */
export class TermObserver {
    /** When the coordinator last had an answer of the store for certain, in steady milliseconds. */
    private storeContactAtMs = -Infinity;
    private lastTopicEnd = -1;
    private lastRenewalAtMs = -Infinity;
    private lastReadAtMs = -Infinity;
    /** Since when the store has answered each time, in steady milliseconds. */
    private storeAvailableSinceMs = Infinity;
    /** How long the store last took to answer, in milliseconds. */
    storeLatencyMs = 0;

    constructor(
        private readonly termLog: TermLog,
        private readonly clock: Clock,
        private readonly rules: Pick<EntryVmRules, "maxRecordedAgeMs" | "wallClockToleranceMs">,
    ) {}

    /** Time since the coordinator's last renewal as far as it was seen here, in milliseconds. */
    get renewalAgeMs(): number {
        return this.clock.getNow() - this.lastRenewalAtMs;
    }

    /** How long the store has answered each time, in milliseconds. */
    get storeAvailableMs(): number {
        return this.clock.getNow() - this.storeAvailableSinceMs;
    }

    /** Reads the term; undefined when the store doesn't answer. */
    async read(): Promise<TermView | undefined> {
        const { clock, termLog } = this;
        const sentAtMs = clock.getNow();
        const view = await termLog.readTerm();
        const nowMs = clock.getNow();
        if (view === undefined) {
            this.storeAvailableSinceMs = Infinity;
            return undefined;
        }
        this.storeAvailableSinceMs = Math.min(this.storeAvailableSinceMs, nowMs);
        this.storeLatencyMs = nowMs - sentAtMs;
        if (view.end !== this.lastTopicEnd) {
            const isWatched = sentAtMs - this.lastReadAtMs < MAX_READ_GAP_MS;
            const ageMs = isWatched ? 0 : Math.abs(clock.getWallTime() - view.writtenAtMs);
            this.lastRenewalAtMs = nowMs - ageMs;
            // It was written at any time since the last look.
            this.noteStoreContact(this.lastReadAtMs);
            this.lastTopicEnd = view.end;
        }
        this.lastReadAtMs = sentAtMs;
        return view;
    }

    /** Notes that the coordinator had an answer of the store at that time, in steady milliseconds. */
    noteStoreContact(atMs: number): void {
        this.storeContactAtMs = Math.max(this.storeContactAtMs, atMs);
    }

    /**
     * Whether the last coordinator was seen to reach the store so lately that it can't have worked without it. A renewal
     * may be carried out long after it was sent, so when it was written counts as well as when it was seen; nor does a
     * steady clock count while a machine is suspended.
     */
    isFullyRecorded(view: TermView): boolean {
        const { clock, rules } = this;
        const writtenMs = Math.abs(clock.getWallTime() - view.writtenAtMs);
        const isSeen = clock.getNow() - this.storeContactAtMs < rules.maxRecordedAgeMs;
        const withinMs = isSeen ? rules.maxRecordedAgeMs : rules.maxRecordedAgeMs - rules.wallClockToleranceMs;
        return !view.hasUnrecordedStarts && writtenMs < withinMs;
    }
}
