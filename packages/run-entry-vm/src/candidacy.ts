import type { Clock } from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import type { Candidate, CoordinatorView, TermHolder, TermLog, TermView } from "@sardinestage/keep-term";
import { EarlierTerm, Instant } from "@sardinestage/keep-term";
import type { EventLogger } from "@sardinestage/log-events";
import type { AuthorityKeeper } from "./authorityKeeper.js";
import type { CandidacyPromise } from "./candidacyPromise.js";
import { computeWeakness } from "./computeWeakness.js";
import { describeCandidacy } from "./describeCandidacy.js";
import type { EntryVmRules } from "./entryVmRules.js";
import type { LocalCoordinator } from "./localCoordinator.js";
import type { TermObserver } from "./termObserver.js";

/** Latency of a nearby store, in milliseconds. Only latency above this delays a candidacy. */
const NEAR_STORE_MS = 6;

/** Dependencies of a candidacy. */
interface CandidacyParts {
    readonly self: Candidate;
    readonly termLog: TermLog;
    readonly term: TermObserver;
    readonly promise: CandidacyPromise;
    readonly authorityKeeper: AuthorityKeeper;
    readonly localCoordinator: LocalCoordinator;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly rules: EntryVmRules;
    readonly readTerm: () => Promise<TermView | undefined>;
    readonly updateHolder: (holder: TermHolder) => void;
    /** Whether this process may compete: it neither stops nor has stopped. */
    readonly mayCompete: () => boolean;
    /** Whether this process has stopped. One that is only about to stop holds a term that it wins until another wins. */
    readonly isClosed: () => boolean;
    /** Returns since when this process has known the newest term, in milliseconds of the monotonic clock. */
    readonly getHolderKnownSince: () => number;
}

/** Competes for the next term, and coordinates if this process wins. */
export class Candidacy {
    constructor(private readonly parts: CandidacyParts) {}

    /**
     * Tries to win the next term after a delay that lets strong VMs and VMs with low store latency go first. Returns
     * without a try if another process wins in the meantime, or if this process has promised not to compete.
     *
     * @param before The term when this process decided to compete.
     * @param coordinator The state of the coordinator then.
     * @param members The VMs that follow it.
     */
    async run(before: TermView, coordinator: CoordinatorView, members: readonly Candidate[]): Promise<void> {
        const { clock, termLog, localCoordinator, promise, mayCompete } = this.parts;
        if (!this.isUnusedTerm(before.holder)) {
            await waitFor(clock, this.computeDelay(before, members));
        }
        const readAt = Instant.readNow(clock);
        const view = await this.parts.readTerm();
        if (view === undefined || !mayCompete()) {
            return;
        }
        const isOurs = this.isUnusedTerm(view.holder);
        if (!isOurs && (view.holder?.term !== before.holder?.term || promise.isKept)) {
            return;
        }
        const isRecorded = [before, view].every(read => this.parts.term.isFullyRecorded(read));
        this.parts.logger.info("term-candidacy", describeCandidacy(coordinator, before.holder?.term));
        const knownSinceMs = this.parts.getHolderKnownSince();
        const triedAt = Instant.readNow(clock);
        const won = isOurs ? view.holder : await termLog.tryWin(view.end);
        if (won === undefined || this.parts.isClosed()) {
            return;
        }
        if (isOurs) {
            termLog.acceptTerm(view);
        }
        const earlierTerm = new EarlierTerm(clock, knownSinceMs, before.areLeasesBound && view.areLeasesBound);
        this.parts.updateHolder(won);
        void this.parts.authorityKeeper.announceTerm(won, isOurs ? undefined : before.holder, members, earlierTerm);
        const hadUnrecordedStarts = before.holder !== undefined && !isRecorded;
        await localCoordinator.start(won, isOurs ? readAt : triedAt, hadUnrecordedStarts, earlierTerm);
    }

    /** Whether this process holds a term, won by an append whose answer was lost, in which it hasn't coordinated yet. */
    private isUnusedTerm(holder: TermHolder | undefined): boolean {
        return holder?.incarnation === this.parts.self.incarnation
            && !this.parts.localCoordinator.hasGivenUp(holder.term);
    }

    /** A process that knows no member, such as one that has just started, compares its VM with the last coordinator's. */
    private computeDelay(before: TermView, members: readonly Candidate[]): number {
        const { rules, self, term } = this.parts;
        const others = members.length === 0 && before.holder !== undefined ? [before.holder] : members;
        const storeWaitMs = Math.max(0, term.storeLatencyMs - NEAR_STORE_MS) * rules.storeDelayFactor;
        const weakerWaitMs = rules.maxWeaknessDelayMs * computeWeakness(self, others);
        return Math.min(rules.maxStoreDelayMs, storeWaitMs) + weakerWaitMs + Math.random() * rules.jitterMs;
    }
}
