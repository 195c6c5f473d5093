import type { CoordinatorCall, CoordinatorLine, CoordinatorReply } from "@sardinestage/accept-jobs";
import type { Clock } from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import type { WorkConfig } from "@sardinestage/describe-work";
import { FrameKind } from "@sardinestage/exchange-frames";
import type { Candidate, CoordinatorView, TermHolder, TermLog, TermView } from "@sardinestage/keep-term";
import { CandidacyStep, chooseCandidacyStep } from "@sardinestage/keep-term";
import type { EventLogger } from "@sardinestage/log-events";
import type { ConfigKeeper } from "./configKeeper.js";
import type { EntryVmRules } from "./entryVmRules.js";
import type { FollowReply } from "./followReply.js";
import type { FollowRequest } from "./followRequest.js";
import type { PeerReport } from "./peerReport.js";
import type { Peers } from "./peers.js";
import type { TermDuty } from "./termDuty.js";

/** A member that hasn't followed for so long is no longer named to others, in milliseconds. */
const MEMBER_FORGET_MS = 8000;
/** A peer's word on the coordinator counts while it is this fresh, in milliseconds. */
const HEARD_LATELY_MS = 700;
/** Answer time of a store that stands next door, in milliseconds. */
const NEAR_STORE_MS = 6;
/** Pause between two looks at a coordinator that is in doubt, in milliseconds. */
const DOUBT_PAUSE_MS = 100;

/** What a membership works with. */
interface MembershipParts {
    readonly self: Candidate;
    readonly termLog: TermLog;
    readonly duty: TermDuty;
    readonly peers: Peers;
    readonly config: ConfigKeeper;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly rules: EntryVmRules;
}

/** Knows who coordinates, follows it, and stands for the next term when it has to. */
export class Membership implements CoordinatorLine {
    private holder: TermHolder | undefined;
    private heardAtMs: number;
    private isRefused = false;
    private isLeaving = false;
    private storeSilentMs = 0;
    /** When the coordinator last had an answer of the store for certain, in steady milliseconds. */
    private storeSeenAtMs = -Infinity;
    private renewalEnd = -1;
    private renewalAtMs = -Infinity;
    private termReadAtMs = -Infinity;
    /** Since when the store has answered each time, in steady milliseconds. */
    private storeSinceMs = Infinity;
    private relay: Candidate | undefined;
    private members: readonly Candidate[] = [];
    private readonly followers = new Map<string, { candidate: Candidate; atMs: number }>();
    private theirConfigVersion = -1;
    private storeMs = NEAR_STORE_MS;
    private isClosed = false;
    private isDraining = false;

    constructor(private readonly parts: MembershipParts) {
        this.heardAtMs = parts.clock.getNow();
    }

    /** Follows the coordinator until closed. */
    async run(): Promise<void> {
        const { clock, rules } = this.parts;
        while (!this.isClosed) {
            const startedAtMs = clock.getNow();
            const isWell = await this.checkCoordinator();
            if (isWell) {
                await waitFor(clock, Math.max(10, rules.followMs - (clock.getNow() - startedAtMs)));
            }
            else if (!this.isClosed) {
                await this.resolveDoubt();
            }
        }
    }

    /** No longer stands; a coordinator goes on until another has taken over. */
    drain(): void {
        this.isDraining = true;
        this.parts.duty.announceLeaving();
    }

    /** Ends following. */
    close(): void {
        this.isClosed = true;
    }

    /** Whether this process coordinates. */
    get isCoordinator(): boolean {
        return this.parts.duty.isActive;
    }

    /** Calls the coordinator, here or elsewhere; through a peer where it can't be reached directly. */
    async call(call: CoordinatorCall, timeoutMs: number): Promise<CoordinatorReply | undefined> {
        if (this.parts.duty.isActive) {
            return this.parts.duty.answer(call);
        }
        const target = this.relay ?? this.holder;
        if (target === undefined || target.incarnation === this.parts.self.incarnation) {
            return { isUnsent: true };
        }
        const answer = await this.parts.peers.request(target, FrameKind.CallCoordinator, call, timeoutMs);
        if (answer.isRefused) {
            return { isUnsent: true };
        }
        return answer.hasAnswered ? answer.body as CoordinatorReply : undefined;
    }

    /** Answers a call that a peer sent; passes it on when somebody else coordinates. */
    async answerCall(call: CoordinatorCall, timeoutMs: number): Promise<CoordinatorReply> {
        if (this.parts.duty.isActive) {
            return this.parts.duty.answer(call);
        }
        if (this.relay !== undefined) {
            return { isUnsent: true };
        }
        return await this.call(call, timeoutMs) ?? { isUnsure: true };
    }

    /** Answers a VM that follows this one. */
    answerFollow(request: FollowRequest): FollowReply {
        const { duty, config, clock } = this.parts;
        const nowMs = clock.getNow();
        const { candidate, configVersion } = request;
        this.followers.set(candidate.vm, { candidate, atMs: nowMs });
        if (request.config !== undefined) {
            config.takeConfig(request.config as WorkConfig, "follower");
        }
        const members = [...this.followers.values()].filter(member => nowMs - member.atMs < MEMBER_FORGET_MS);
        return {
            holder: duty.holder ?? this.holder,
            incarnation: this.parts.self.incarnation,
            isCoordinator: duty.isActive,
            isLeaving: duty.isLeaving,
            storeSilentMs: duty.storeSilentMs,
            members: [this.parts.self, ...members.map(member => member.candidate)],
            configVersion: config.version,
            config: configVersion < config.version ? config.config : undefined,
        };
    }

    /** Tells a peer what this process knows of the coordinator. */
    answerPeer(): PeerReport {
        const { duty, clock } = this.parts;
        if (duty.isActive) {
            return { holder: duty.holder, heardMs: 0 };
        }
        return { holder: this.holder, heardMs: clock.getNow() - this.heardAtMs };
    }

    /** Asks the coordinator whether all is well. */
    private async checkCoordinator(): Promise<boolean> {
        const { duty, self, rules, clock } = this.parts;
        if (duty.isActive) {
            this.heardAtMs = clock.getNow();
            this.storeSeenAtMs = this.heardAtMs - duty.storeSilentMs;
            this.holder = duty.holder;
            this.members = [...this.followers.values()].map(member => member.candidate);
            return true;
        }
        if (this.holder === undefined || this.holder.incarnation === self.incarnation) {
            return false;
        }
        const asked = this.holder;
        const sentAtMs = clock.getNow();
        const request = this.buildFollowRequest();
        const answer = await this.parts.peers.request(asked, FrameKind.FollowCoordinator, request, rules.silenceMs / 2);
        this.isRefused = answer.isRefused;
        if (!answer.hasAnswered) {
            return false;
        }
        return this.takeFollowReply(answer.body as FollowReply, asked, sentAtMs);
    }

    private buildFollowRequest(): FollowRequest {
        const { self, config } = this.parts;
        const isOurs = this.theirConfigVersion < config.version && this.theirConfigVersion >= 0;
        return {
            candidate: self,
            configVersion: config.version,
            config: isOurs ? config.config : undefined,
        };
    }

    private takeFollowReply(reply: FollowReply, asked: TermHolder, sentAtMs: number): boolean {
        this.theirConfigVersion = reply.configVersion;
        if (reply.config !== undefined) {
            this.parts.config.takeConfig(reply.config as WorkConfig, "coordinator");
        }
        this.takeHolder(reply.holder);
        // Another process at its address: the one that held the term has ended.
        this.isRefused = reply.incarnation !== asked.incarnation && this.holder?.term === asked.term;
        if (!reply.isCoordinator || this.holder?.term !== asked.term) {
            return false;
        }
        this.heardAtMs = this.parts.clock.getNow();
        this.relay = undefined;
        this.isLeaving = reply.isLeaving;
        this.storeSilentMs = reply.storeSilentMs;
        this.storeSeenAtMs = Math.max(this.storeSeenAtMs, sentAtMs - reply.storeSilentMs);
        this.members = reply.members;
        return !reply.isLeaving && reply.storeSilentMs < this.parts.rules.storeSilenceMs;
    }

    private takeHolder(holder: TermHolder | undefined): void {
        if (holder === undefined || holder.term <= (this.holder?.term ?? -1)) {
            return;
        }
        const { vm, term } = holder;
        this.parts.logger.info("coordinator-changed", { vm, term, from: this.holder?.vm, fromTerm: this.holder?.term });
        this.holder = holder;
        this.isRefused = false;
        this.isLeaving = false;
        this.storeSilentMs = 0;
        this.relay = undefined;
        this.heardAtMs = this.parts.clock.getNow();
    }

    /** Finds out what is wrong with the coordinator, and what to do about it. */
    private async resolveDoubt(): Promise<void> {
        const { clock, rules, logger } = this.parts;
        const [view, reports] = await Promise.all([this.readTerm(), this.requestReports()]);
        const heard = reports.find(({ report }) => report.heardMs < HEARD_LATELY_MS && this.isCurrent(report.holder));
        reports.forEach(({ report }) => this.takeHolder(report.holder));
        const nowMs = clock.getNow();
        const seen: CoordinatorView = {
            isKnown: this.holder !== undefined && this.holder.incarnation !== this.parts.self.incarnation,
            silentMs: nowMs - this.heardAtMs,
            isRefused: this.isRefused,
            isLeaving: this.isLeaving,
            storeSilentMs: nowMs - this.storeSinceMs >= rules.storeSteadyMs ? this.storeSilentMs : 0,
            hasStore: view !== undefined,
            peers: this.members.filter(member => this.isOtherPeer(member)).length,
            peersAnswered: reports.length,
            isHeardByPeer: heard !== undefined,
            renewalAgeMs: nowMs - this.renewalAtMs,
        };
        const step = chooseCandidacyStep(seen, rules);
        if (step === CandidacyStep.Stand && view !== undefined && !this.isDraining) {
            await this.tryStanding(view, seen);
            return;
        }
        if (step === CandidacyStep.Relay && heard !== undefined) {
            if (this.relay?.vm !== heard.peer.vm) {
                logger.warn("coordinator-relayed", { vm: this.holder?.vm, through: heard.peer.vm });
            }
            this.relay = heard.peer;
        }
        await waitFor(clock, DOUBT_PAUSE_MS);
    }

    private isCurrent(holder: TermHolder | undefined): boolean {
        return holder !== undefined && holder.term >= (this.holder?.term ?? 0);
    }

    private isOtherPeer(member: Candidate): boolean {
        return member.vm !== this.parts.self.vm && member.vm !== this.holder?.vm;
    }

    private async readTerm(): Promise<TermView | undefined> {
        const { clock, termLog } = this.parts;
        const sentAtMs = clock.getNow();
        const view = await termLog.readTerm();
        if (view === undefined) {
            this.storeSinceMs = Infinity;
            return undefined;
        }
        this.storeSinceMs = Math.min(this.storeSinceMs, clock.getNow());
        this.storeMs = clock.getNow() - sentAtMs;
        if (view.end !== this.renewalEnd) {
            this.renewalAtMs = this.renewalEnd < 0 ? -Infinity : clock.getNow();
            // It was written at any time since the last look.
            this.storeSeenAtMs = Math.max(this.storeSeenAtMs, this.termReadAtMs);
            this.renewalEnd = view.end;
        }
        this.termReadAtMs = sentAtMs;
        this.takeHolder(view.holder);
        return view;
    }

    private async requestReports(): Promise<{ peer: Candidate; report: PeerReport }[]> {
        const { peers, rules } = this.parts;
        const others = this.members.filter(member => this.isOtherPeer(member));
        const answers = await Promise.all(others.map(async peer => {
            const answer = await peers.request(peer, FrameKind.AskPeer, {}, rules.peerTimeoutMs);
            return answer.hasAnswered ? [{ peer, report: answer.body as PeerReport }] : [];
        }));
        return answers.flat();
    }

    /** Waits its turn (those near the store go first) and tries to win the term that follows what was read. */
    private async tryStanding(before: TermView, seen: CoordinatorView): Promise<void> {
        const { clock, rules, termLog, duty, logger, self } = this.parts;
        if (before.holder?.incarnation !== self.incarnation) {
            const slower = Math.max(0, this.storeMs - NEAR_STORE_MS) * rules.standDelayPerStoreMs;
            await waitFor(clock, Math.min(rules.maxStandDelayMs, slower) + Math.random() * rules.standJitterMs);
        }
        const view = await this.readTerm();
        if (view === undefined || this.isClosed || this.isDraining) {
            return;
        }
        const isOurs = view.holder?.incarnation === self.incarnation;
        if (!isOurs && view.holder?.term !== before.holder?.term) {
            return;
        }
        const nowMs = clock.getNow();
        const hadUnrecordedStarts = before.holder !== undefined && !this.isRecordedFresh(before, nowMs);
        logger.info("term-candidacy", {
            after: before.holder?.term,
            silentMs: Math.round(seen.silentMs),
            storeSilentMs: Math.round(seen.storeSilentMs),
            renewalAgeMs: Math.round(seen.renewalAgeMs),
            isRefused: seen.isRefused,
            isLeaving: seen.isLeaving,
            peers: seen.peers,
            peersAnswered: seen.peersAnswered,
        });
        const won = isOurs ? view.holder : await termLog.tryWin(view.end);
        if (won === undefined) {
            return;
        }
        if (isOurs) {
            termLog.acceptTerm(view);
        }
        this.takeHolder(won);
        await duty.start(won, hadUnrecordedStarts);
    }

    /** Whether the last coordinator was seen to reach the store so lately that it can't have worked without it. */
    private isRecordedFresh(view: TermView, nowMs: number): boolean {
        const { clock, rules } = this.parts;
        const writtenMs = Math.abs(clock.getWallTime() - view.writtenAtMs);
        return nowMs - this.storeSeenAtMs < rules.recordedWithinMs
            || writtenMs < rules.recordedWithinMs - rules.wallToleranceMs;
    }
}
