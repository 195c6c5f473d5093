import type { Clock } from "@sardinestage/describe-ports";
import type { TermLog, TermView } from "@sardinestage/keep-term";
import type { EntryVmRules } from "./entryVmRules.js";

/** Two looks at the term that are no further apart show when a renewal came, in milliseconds. */
const WATCHED_WITHIN_MS = 1000;

/** Reads the term, and remembers what that says of the coordinator's renewals and of the store. */
export class TermObserver {
    /** When the coordinator last had an answer of the store for certain, in steady milliseconds. */
    private storeSeenAtMs = -Infinity;
    private renewalEnd = -1;
    private renewalAtMs = -Infinity;
    private readAtMs = -Infinity;
    /** Since when the store has answered each time, in steady milliseconds. */
    private storeSinceMs = Infinity;
    /** How long the store last took to answer, in milliseconds. */
    storeMs = 0;

    constructor(
        private readonly termLog: TermLog,
        private readonly clock: Clock,
        private readonly rules: Pick<EntryVmRules, "recordedWithinMs" | "wallToleranceMs">,
    ) {}

    /** Time since the coordinator's last renewal as far as it was seen here, in milliseconds. */
    get renewalAgeMs(): number {
        return this.clock.getNow() - this.renewalAtMs;
    }

    /** How long the store has answered each time, in milliseconds. */
    get storeSteadyMs(): number {
        return this.clock.getNow() - this.storeSinceMs;
    }

    /** Reads the term; undefined when the store doesn't answer. */
    async read(): Promise<TermView | undefined> {
        const { clock, termLog } = this;
        const sentAtMs = clock.getNow();
        const view = await termLog.readTerm();
        const nowMs = clock.getNow();
        if (view === undefined) {
            this.storeSinceMs = Infinity;
            return undefined;
        }
        this.storeSinceMs = Math.min(this.storeSinceMs, nowMs);
        this.storeMs = nowMs - sentAtMs;
        if (view.end !== this.renewalEnd) {
            const isWatched = sentAtMs - this.readAtMs < WATCHED_WITHIN_MS;
            const ageMs = isWatched ? 0 : Math.abs(clock.getWallTime() - view.writtenAtMs);
            this.renewalAtMs = nowMs - ageMs;
            // It was written at any time since the last look.
            this.noteStoreSeen(this.readAtMs);
            this.renewalEnd = view.end;
        }
        this.readAtMs = sentAtMs;
        return view;
    }

    /** Notes that the coordinator had an answer of the store at that time, in steady milliseconds. */
    noteStoreSeen(atMs: number): void {
        this.storeSeenAtMs = Math.max(this.storeSeenAtMs, atMs);
    }

    /**
     * Whether the last coordinator was seen to reach the store so lately that it can't have worked without it. A renewal
     * may be carried out long after it was sent, so when it was written counts as well as when it was seen; nor does a
     * steady clock count while a machine is suspended.
     */
    isRecordedFresh(view: TermView): boolean {
        const { clock, rules } = this;
        const writtenMs = Math.abs(clock.getWallTime() - view.writtenAtMs);
        const isSeen = clock.getNow() - this.storeSeenAtMs < rules.recordedWithinMs;
        const withinMs = isSeen ? rules.recordedWithinMs : rules.recordedWithinMs - rules.wallToleranceMs;
        return !view.hasUnrecordedStarts && writtenMs < withinMs;
    }
}
