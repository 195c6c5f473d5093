import type { CoordinatorCall, CoordinatorReply, JobStateCache } from "@sardinestage/accept-jobs";
import { CoordinatorCallKind, parseJobSpec } from "@sardinestage/accept-jobs";
import type { Coordinator } from "@sardinestage/coordinate-work";
import type { Clock, StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, Topic, waitFor } from "@sardinestage/describe-ports";
import type { PlacementExplanation, QueueConfig } from "@sardinestage/describe-work";
import { ExplainOutcome } from "@sardinestage/describe-work";
import type { EarlierTerm, TermHolder, TermLog } from "@sardinestage/keep-term";
import { Instant, RenewalOutcome, TermAuthority } from "@sardinestage/keep-term";
import type { EventLogger } from "@sardinestage/log-events";
import type { CoordinatorReport } from "./coordinatorReport.js";
import type { EntryVmRules } from "./entryVmRules.js";
import type { Followers } from "./followers.js";
import { JobFactLog } from "./jobFactLog.js";
import type { JobFacts } from "./jobFacts.js";
import type { TermParts } from "./termParts.js";

/** Pause between two tries to take over, in milliseconds. */
const TAKEOVER_RETRY_MS = 100;
/** Failed takeovers after which the process gives the term up. */
const MAX_TAKEOVER_TRIES = 40;
/** The store counts as unavailable after failures for this long, in milliseconds. */
const STORE_UNAVAILABLE_MS = 500;
/**
 * Leases of an earlier version, which doesn't bind them by its authority's age, end later than those that are bound by at
 * most this long, in milliseconds: a term that is as old says that leases are bound.
 */
const LEASES_BOUND_AFTER_MS = 1000;
/** Timeout of an append on behalf of a VM that can't reach the store, in milliseconds. */
const RELAYED_APPEND_TIMEOUT_MS = 500;

/** Dependencies of a local coordinator. */
interface LocalCoordinatorParts {
    readonly termLog: TermLog;
    readonly store: StorePort;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly rules: EntryVmRules;
    readonly followers: Followers;
    /** Remembers for the callers of this VM what its coordinator tells the others. */
    readonly jobStateCache: JobStateCache;
    /** Monotonic time without the stalls of this process's event loop, in milliseconds. */
    readonly getResponsiveTime: () => number;
    /** Finds a queue of the configuration in force by its name; without it, no job that isn't submitted is explained. */
    readonly findQueue?: (name: string) => QueueConfig | undefined;
    /** Creates the coordinator of a term. */
    readonly createCoordinator: (termParts: TermParts) => Coordinator;
}

/** The coordinator in this process: active, and renewing the term, for as long as this process holds the term. */
export class LocalCoordinator {
    private coordinator: Coordinator | undefined;
    private jobFactLog: JobFactLog | undefined;
    private lastRenewedAtMs = 0;
    /**
     * When the first of the current series of failed renewals was sent, in responsive time; Infinity while renewals
     * succeed.
     */
    private renewalsFailingSinceMs = Infinity;
    private termWonAtMs = 0;
    /** The newest term in which this process has coordinated; 0 if there is none. */
    private newestTerm = 0;
    private authority: TermAuthority | undefined;
    private hadAuthority = true;
    /** Whether a read that may confirm the term is under way. */
    private isConfirming = false;
    /** The term that this process holds, or undefined. */
    holder: TermHolder | undefined;
    /** Whether this process has asked the others to take over. */
    isLeaving = false;

    constructor(private readonly parts: LocalCoordinatorParts) {}

    /** Whether this process holds the term. */
    get isActive(): boolean {
        return this.holder !== undefined;
    }

    /** The authority of the term that this process holds; undefined if it holds none. */
    get termAuthority(): TermAuthority | undefined {
        return this.holder === undefined ? undefined : this.authority;
    }

    /**
     * Whether this process has given a term up, for good: what it ordered in that term is forgotten, so that it may only
     * coordinate again in a term of its own that it wins later.
     */
    hasGivenUp(term: number): boolean {
        return this.holder === undefined && term === this.newestTerm;
    }

    /** How long this process has held the term, in milliseconds. */
    get termHeldMs(): number {
        return this.holder === undefined ? 0 : this.parts.clock.getNow() - this.termWonAtMs;
    }

    /** Memory that further jobs may take of the coordinator in this process, in bytes; undefined if there is none. */
    get freeJobBytes(): number | undefined {
        return this.isReady ? this.coordinator?.lookup.freeJobBytes : undefined;
    }

    /** Whether the takeover of the coordinator in this process is complete. */
    private get isReady(): boolean {
        return this.coordinator?.isReady === true;
    }

    /** Number of workers that the coordinator in this process knows; 0 if there is none. */
    get workerCount(): number {
        return this.coordinator?.workerCount ?? 0;
    }

    /** Time since the last confirmed renewal was sent, in milliseconds. */
    get renewalAgeMs(): number {
        return this.parts.clock.getNow() - this.lastRenewedAtMs;
    }

    /** How overdue the store's next answer to a renewal is, in milliseconds. */
    get storeSilentMs(): number {
        return this.holder === undefined ? 0 : Math.max(0, this.renewalAgeMs - this.parts.rules.renewMs);
    }

    /**
     * How long renewals have failed, in milliseconds. Unlike `storeSilentMs` this leaves out answers that are only read
     * late, and the stalls of this process's event loop: a process that is short of processor time reads late, also
     * after a renewal's timeout, which doesn't show that the store is unavailable.
     */
    get storeLostMs(): number {
        return this.holder === undefined
            ? 0
            : Math.max(0, this.parts.getResponsiveTime() - this.renewalsFailingSinceMs);
    }

    /**
     * Whether tasks may run whose start isn't recorded yet, now or by the time at which the store carries out a renewal
     * that is sent now.
     */
    private get hasUnrecordedStarts(): boolean {
        return this.renewalAgeMs >= this.parts.rules.lateRenewalMs || (this.coordinator?.hasUnrecordedStarts ?? false);
    }

    /**
     * Starts coordinating in a term that this process has won. Returns when the takeover has succeeded or failed.
     *
     * @param wonAt When the call to the store was sent whose answer shows that the term is won.
     * @param hadUnrecordedStarts Whether an earlier coordinator may have started tasks that the store has no record of.
     * @param earlierTerm Until when earlier coordinators may act.
     */
    async start(
        holder: TermHolder,
        wonAt: Instant,
        hadUnrecordedStarts: boolean,
        earlierTerm: EarlierTerm,
    ): Promise<void> {
        const { clock, logger } = this.parts;
        this.holder = holder;
        this.newestTerm = holder.term;
        this.authority = new TermAuthority(wonAt);
        this.hadAuthority = true;
        this.termWonAtMs = clock.getNow();
        this.lastRenewedAtMs = this.termWonAtMs;
        this.renewalsFailingSinceMs = Infinity;
        const jobFactLog = new JobFactLog(holder.term);
        this.jobFactLog = jobFactLog;
        logger.info("term-won", { term: holder.term, hadUnrecordedStarts });
        void this.runRenewals(holder.term);
        // One coordinator for all tries: what has been ordered in a term must be known until the term ends.
        const coordinator = this.parts.createCoordinator({
            term: holder.term,
            hadUnrecordedStarts,
            earlierTerm,
            hasAuthority: () => this.checkAuthority(holder.term),
            getAuthorityAge: () => this.termAuthority?.ageMs ?? Infinity,
            getTermRenewalAge: () => this.renewalAgeMs,
            getNewestFence: () => this.findNewestFence(holder.term),
            onTermLost: reason => this.stop(holder.term, reason),
            onJobState: (id, state) => {
                jobFactLog.note(id, state);
                this.parts.jobStateCache.noteState(id, state);
            },
        });
        this.coordinator = coordinator;
        for (let tries = 0; tries < MAX_TAKEOVER_TRIES && this.holder === holder; tries++) {
            if (await coordinator.open()) {
                return;
            }
            await waitFor(clock, TAKEOVER_RETRY_MS);
        }
        this.stop(holder.term, "takeover-failed");
    }

    /** Asks the others to take over. This process coordinates until one of them has. */
    announceLeaving(): void {
        this.isLeaving = true;
    }

    /**
     * Builds the part of a reply to a follower that tells of this process as the coordinator.
     *
     * @param known What the follower knows of the jobs; undefined for one that doesn't ask for them.
     */
    buildReply(known: JobFacts | undefined): CoordinatorReport {
        return {
            isCoordinator: this.isActive,
            isLeaving: this.isLeaving,
            storeSilentMs: this.storeSilentMs,
            storeLostMs: this.storeLostMs,
            freeJobBytes: this.freeJobBytes,
            jobFacts: known === undefined ? undefined : this.jobFactLog?.collectSince(known, this.isReady),
        };
    }

    /** Answers a call to the coordinator. */
    async answer(call: CoordinatorCall): Promise<CoordinatorReply> {
        if (call.kind === CoordinatorCallKind.Append) {
            if (this.storeLostMs >= STORE_UNAVAILABLE_MS) {
                // Refuses at once, so that the caller retries, since the append would most likely time out.
                return { outcome: AppendOutcome.Refused };
            }
            const records = call.records ?? [];
            if (records.length === 0) {
                return { outcome: AppendOutcome.Appended };
            }
            const answer = await this.parts.store.append({
                topic: Topic.Jobs,
                records,
                timeoutMs: RELAYED_APPEND_TIMEOUT_MS,
            });
            return { outcome: answer.outcome };
        }
        const { coordinator } = this;
        if (coordinator === undefined || !coordinator.isReady) {
            return { isUnsure: true };
        }
        switch (call.kind) {
            case CoordinatorCallKind.GetState: {
                const state = await coordinator.getState(call.id ?? "");
                return state === "unknown" ? { isUnsure: true } : { state };
            }
            case CoordinatorCallKind.GetPending: {
                const pending = coordinator.getPending(call.queue ?? "");
                return pending === undefined ? { isUnsure: true } : { pending };
            }
            case CoordinatorCallKind.Admit: {
                const { id = "", bytes = 0, queue, address } = call;
                const answer = await coordinator.lookup.admitJob(id, bytes, { queue, address });
                return { isRefused: answer !== true, isUnsure: answer === "unknown" };
            }
            case CoordinatorCallKind.Explain:
                return { explanation: this.explainPlacement(coordinator, call) };
            case CoordinatorCallKind.Cancel:
                coordinator.cancelJob(call.id ?? "");
                return {};
        }
    }

    private explainPlacement(coordinator: Coordinator, call: CoordinatorCall): PlacementExplanation {
        if (call.id !== undefined) {
            return coordinator.explainer.explain({ id: call.id });
        }
        const queue = this.parts.findQueue?.(call.queue ?? "");
        const spec = parseJobSpec(call.spec);
        const refused = { mayStart: false, steps: [], leftOutCount: 0 };
        if (queue === undefined) {
            return { ...refused, outcome: ExplainOutcome.UnknownQueue };
        }
        return spec.ok
            ? coordinator.explainer.explain({ spec: spec.val, queue })
            : { ...refused, outcome: ExplainOutcome.InvalidJob, problem: spec.val };
    }

    /** Stops coordinating, whatever the term; does nothing if this process doesn't coordinate. */
    stopAnyTerm(reason: string): void {
        this.stop(this.holder?.term ?? -1, reason);
    }

    /** Stops coordinating in a term; does nothing if this process holds another term or none. */
    stop(term: number, reason: string): void {
        if (this.holder?.term !== term) {
            return;
        }
        this.parts.logger.warn("term-lost", { term, reason });
        this.coordinator?.close();
        this.coordinator = undefined;
        this.jobFactLog = undefined;
        this.holder = undefined;
        this.isLeaving = false;
    }

    private noteFactsCurrent(atMs: number): void {
        if (this.isReady) {
            this.parts.jobStateCache.noteCurrent(atMs);
        }
    }

    /** The newest fencing token of a term of this process; the term itself once the process doesn't hold it any more. */
    private findNewestFence(term: number): number {
        // The log goes on to the tokens of the process's next term, which are no tokens of this one.
        return this.holder?.term === term ? Math.max(term, this.parts.termLog.newestFence) : term;
    }

    /** Whether this process may act in a term now; logs when that has changed. */
    private checkAuthority(term: number): boolean {
        const isValid = this.holder?.term === term && this.authority?.isValid === true;
        if (isValid !== this.hadAuthority && this.holder?.term === term) {
            this.hadAuthority = isValid;
            const unconfirmedMs = Math.round(this.authority?.unconfirmedMs ?? 0);
            this.parts.logger.warn(isValid ? "authority-regained" : "authority-lapsed", { term, unconfirmedMs });
        }
        return isValid;
    }

    /** Finds out after a failed renewal whether the term is still the newest: a slow store may answer only reads. */
    private async confirmTerm(term: number): Promise<void> {
        if (this.isConfirming) {
            return;
        }
        this.isConfirming = true;
        const askedAt = Instant.readNow(this.parts.clock);
        const view = await this.parts.termLog.readTerm();
        this.isConfirming = false;
        if (view?.holder === undefined || this.holder?.term !== term) {
            return;
        }
        if (view.holder.term > term) {
            this.stop(term, "another-won");
        }
        else {
            this.authority?.noteConfirmed(askedAt);
        }
    }

    private async runRenewals(term: number): Promise<void> {
        const { clock, termLog, rules, logger, followers } = this.parts;
        let hasFailed = false;
        let nextAtMs = clock.getNow() + rules.renewMs;
        while (this.holder?.term === term) {
            await waitFor(clock, Math.max(0, nextAtMs - clock.getNow()));
            if (this.holder?.term !== term) {
                return;
            }
            const sentAt = Instant.readNow(clock);
            const sentAtMs = clock.getNow();
            const sentAtResponsiveMs = this.parts.getResponsiveTime();
            const outcome = await termLog.renew(
                term,
                followers.countActive(sentAtMs),
                this.hasUnrecordedStarts,
                this.termHeldMs >= LEASES_BOUND_AFTER_MS,
            );
            if (outcome === RenewalOutcome.TermLost) {
                this.stop(term, "another-won");
                return;
            }
            if (hasFailed !== (outcome === RenewalOutcome.Failed)) {
                hasFailed = !hasFailed;
                this.renewalsFailingSinceMs = hasFailed ? sentAtResponsiveMs : Infinity;
                logger.warn(hasFailed ? "store-lost" : "store-regained", { term });
            }
            if (!hasFailed) {
                this.lastRenewedAtMs = sentAtMs;
                this.authority?.noteConfirmed(sentAt);
                this.noteFactsCurrent(sentAtMs);
            }
            else {
                void this.confirmTerm(term);
            }
            // Counts from when this renewal was sent: followers see the time between renewals, and a process that reads
            // the store's answers late mustn't lengthen it.
            nextAtMs = hasFailed ? clock.getNow() + rules.renewMs / 4 : sentAtMs + rules.renewMs;
        }
    }
}
