import type { CoordinatorCall, CoordinatorReply } from "@sardinestage/accept-jobs";
import { CoordinatorCallKind } from "@sardinestage/accept-jobs";
import type { Coordinator } from "@sardinestage/coordinate-work";
import type { Clock, StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, Topic, waitFor } from "@sardinestage/describe-ports";
import type { TermHolder, TermLog } from "@sardinestage/keep-term";
import { RenewalOutcome } from "@sardinestage/keep-term";
import type { EventLogger } from "@sardinestage/log-events";
import type { EntryVmRules } from "./entryVmRules.js";
import type { Followers } from "./followers.js";

/** Pause between two tries to take over, in milliseconds. */
const TAKEOVER_RETRY_MS = 100;
/** Tries to take over before the term is given up. */
const MAX_TAKEOVER_TRIES = 40;
/** A store that hasn't answered for so long is taken to be away, in milliseconds. */
const STORE_UNAVAILABLE_MS = 500;
/** How long an append for a VM without the store may take, in milliseconds. */
const RELAYED_APPEND_TIMEOUT_MS = 500;

/** What a duty works with. */
interface LocalCoordinatorParts {
    readonly termLog: TermLog;
    readonly store: StorePort;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly rules: EntryVmRules;
    readonly followers: Followers;
    /** Makes a coordinator for a term. */
    readonly createCoordinator: (
        term: number,
        hadUnrecordedStarts: boolean,
        getRenewalAge: () => number,
        onTermLost: (reason: string) => void,
    ) => Coordinator;
}

/** Coordinates for as long as this process holds the term. */
export class LocalCoordinator {
    private coordinator: Coordinator | undefined;
    private lastRenewedAtMs = 0;
    /** When the first of the renewals that failed in a row was sent, in steady milliseconds. */
    private renewalsFailingSinceMs = Infinity;
    private termWonAtMs = 0;
    /** The term that this process holds; undefined while it holds none. */
    holder: TermHolder | undefined;
    isLeaving = false;

    constructor(private readonly parts: LocalCoordinatorParts) {}

    /** Whether this process holds the term. */
    get isActive(): boolean {
        return this.holder !== undefined;
    }

    /** How long this process has held the term, in milliseconds. */
    get termHeldMs(): number {
        return this.holder === undefined ? 0 : this.parts.clock.getNow() - this.termWonAtMs;
    }

    /** Time since the term was last renewed for certain, in milliseconds. */
    get renewalAgeMs(): number {
        return this.parts.clock.getNow() - this.lastRenewedAtMs;
    }

    /** How long the store hasn't answered, in milliseconds. */
    get storeSilentMs(): number {
        return this.holder === undefined ? 0 : Math.max(0, this.renewalAgeMs - this.parts.rules.renewMs);
    }

    /**
     * How long calls to the store have failed, in milliseconds. A process that is short of processor reads answers late, which
     * says nothing of the store.
     */
    get storeLostMs(): number {
        return this.holder === undefined ? 0 : Math.max(0, this.parts.clock.getNow() - this.renewalsFailingSinceMs);
    }

    /**
     * Whether work may be about that isn't recorded yet, or may be by the time that a renewal is carried out which is sent
     * now.
     */
    private get hasUnrecordedStarts(): boolean {
        return this.renewalAgeMs >= this.parts.rules.lateRenewalMs || (this.coordinator?.hasUnrecordedStarts ?? false);
    }

    /** Begins a term that was just won; returns once it has taken over or has given up. */
    async start(holder: TermHolder, hadUnrecordedStarts: boolean): Promise<void> {
        const { clock, logger } = this.parts;
        this.holder = holder;
        this.termWonAtMs = clock.getNow();
        this.lastRenewedAtMs = this.termWonAtMs;
        this.renewalsFailingSinceMs = Infinity;
        logger.info("term-won", { term: holder.term, hadUnrecordedStarts });
        void this.runRenewals(holder.term);
        for (let tries = 0; tries < MAX_TAKEOVER_TRIES && this.holder === holder; tries++) {
            const coordinator = this.parts.createCoordinator(
                holder.term,
                hadUnrecordedStarts,
                () => this.renewalAgeMs,
                reason => this.stop(holder.term, reason),
            );
            this.coordinator = coordinator;
            if (await coordinator.open()) {
                return;
            }
            coordinator.close();
            await waitFor(clock, TAKEOVER_RETRY_MS);
        }
        this.stop(holder.term, "takeover-failed");
    }

    /** Asks the others to take over; goes on until one has. */
    announceLeaving(): void {
        this.isLeaving = true;
    }

    /** Answers a call to the coordinator. */
    async answer(call: CoordinatorCall): Promise<CoordinatorReply> {
        if (call.kind === CoordinatorCallKind.Append) {
            if (this.storeLostMs >= STORE_UNAVAILABLE_MS) {
                // The caller is told at once to come back, rather than after a wait that is likely in vain.
                return { outcome: AppendOutcome.Refused };
            }
            const records = call.records ?? [];
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
            case CoordinatorCallKind.Cancel:
                coordinator.cancelJob(call.id ?? "");
                return {};
        }
    }

    /** Ends the term here. */
    stop(term: number, reason: string): void {
        if (this.holder?.term !== term) {
            return;
        }
        this.parts.logger.warn("term-lost", { term, reason });
        this.coordinator?.close();
        this.coordinator = undefined;
        this.holder = undefined;
        this.isLeaving = false;
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
            const sentAtMs = clock.getNow();
            const outcome = await termLog.renew(term, followers.countActive(sentAtMs), this.hasUnrecordedStarts);
            if (outcome === RenewalOutcome.Deposed) {
                this.stop(term, "another-won");
                return;
            }
            if (hasFailed !== (outcome === RenewalOutcome.Failed)) {
                hasFailed = !hasFailed;
                this.renewalsFailingSinceMs = hasFailed ? sentAtMs : Infinity;
                logger.warn(hasFailed ? "store-lost" : "store-regained", { term });
            }
            if (!hasFailed) {
                this.lastRenewedAtMs = sentAtMs;
            }
            // What others see is the time between two renewals, which mustn't grow by how late the answers are read.
            nextAtMs = hasFailed ? clock.getNow() + rules.renewMs / 4 : sentAtMs + rules.renewMs;
        }
    }
}
