import type { CoordinatorCall, CoordinatorLine, CoordinatorReply } from "@sardinestage/accept-jobs";
import type { Clock } from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import type { WorkConfig } from "@sardinestage/describe-work";
import { FrameKind } from "@sardinestage/exchange-frames";
import type { Candidate, CoordinatorView, TermHolder, TermLog, TermView } from "@sardinestage/keep-term";
import { CandidacyStep, chooseCandidacyStep } from "@sardinestage/keep-term";
import { AnswerTimeout } from "@sardinestage/learn-behaviour";
import type { EventLogger } from "@sardinestage/log-events";
import type { LoopWatch } from "@sardinestage/watch-loop";
import { chooseSome } from "./chooseSome.js";
import { computeWeakness } from "./computeWeakness.js";
import type { ConfigKeeper } from "./configKeeper.js";
import { ConfigLag } from "./configLag.js";
import { describeCandidacy } from "./describeCandidacy.js";
import type { EntryVmRules } from "./entryVmRules.js";
import type { Followers } from "./followers.js";
import type { FollowReply } from "./followReply.js";
import type { FollowRequest } from "./followRequest.js";
import type { PeerReport } from "./peerReport.js";
import type { Peers } from "./peers.js";
import { requestReports } from "./requestReports.js";
import type { TermDuty } from "./termDuty.js";
import { TermObserver } from "./termObserver.js";

/** A peer's word on the coordinator counts while it is this fresh, in milliseconds. */
const HEARD_LATELY_MS = 700;
/** Answer time of a store that stands next door, in milliseconds. */
const NEAR_STORE_MS = 6;
/** The longest wait for a coordinator that is slow to answer, in milliseconds. */
const MOST_FOLLOW_MS = 2000;
/** Peers that are asked about a coordinator in doubt: all of a large installation would be a storm. */
const PEERS_ASKED = 5;
/** Pause between two looks at a coordinator that is in doubt, in milliseconds. */
const DOUBT_PAUSE_MS = 100;

/** What a membership works with. */
interface MembershipParts {
    readonly self: Candidate;
    readonly termLog: TermLog;
    readonly duty: TermDuty;
    readonly peers: Peers;
    readonly followers: Followers;
    readonly config: ConfigKeeper;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly rules: EntryVmRules;
    readonly watch: LoopWatch;
}

/** Knows who coordinates, follows it, and stands for the next term when it has to. */
export class Membership implements CoordinatorLine {
    private holder: TermHolder | undefined;
    /** When the coordinator last answered, in attentive time: what was missed here isn't its silence. */
    private heardAtMs: number;
    private isRefused = false;
    private isLeaving = false;
    private storeLostMs = 0;
    /** When the term was seen to change, in steady milliseconds. */
    private changedAtMs = -Infinity;
    private relay: Candidate | undefined;
    private members: readonly Candidate[] = [];
    private membersVersion = "";
    private readonly term: TermObserver;
    private readonly followTimeout: AnswerTimeout;
    private readonly ourConfigLag = new ConfigLag();
    private readonly theirConfigLag = new ConfigLag();
    private isClosed = false;
    private isDraining = false;

    constructor(private readonly parts: MembershipParts) {
        this.heardAtMs = parts.watch.getAttentiveTime();
        this.followTimeout = new AnswerTimeout({ leastMs: parts.rules.silenceMs / 2, mostMs: MOST_FOLLOW_MS });
        this.term = new TermObserver(parts.termLog, parts.clock, parts.rules);
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
        const { self, duty, config, clock, followers } = this.parts;
        followers.note(request.candidate, clock.getNow());
        followers.dropSilent(clock.getNow());
        if (request.config !== undefined) {
            config.takeConfig(request.config as WorkConfig, "follower");
        }
        const membersVersion = `${self.incarnation}/${followers.version}`;
        return {
            holder: duty.holder ?? this.holder,
            incarnation: self.incarnation,
            isCoordinator: duty.isActive,
            isLeaving: duty.isLeaving,
            storeSilentMs: duty.storeSilentMs,
            storeLostMs: duty.storeLostMs,
            membersVersion,
            members: duty.isActive && request.membersVersion !== membersVersion
                ? [self, ...followers.list()]
                : undefined,
            configVersion: config.version,
            config: request.needsConfig ? config.config : undefined,
        };
    }

    /** Tells a peer what this process knows of the coordinator. */
    answerPeer(): PeerReport {
        const { duty, watch } = this.parts;
        if (duty.isActive) {
            return { holder: duty.holder, heardMs: 0 };
        }
        return { holder: this.holder, heardMs: watch.getAttentiveTime() - this.heardAtMs };
    }

    /** Asks the coordinator whether all is well. */
    private async checkCoordinator(): Promise<boolean> {
        const { duty, self, clock, watch } = this.parts;
        if (duty.isActive) {
            this.heardAtMs = watch.getAttentiveTime();
            this.term.noteStoreSeen(clock.getNow() - duty.storeSilentMs);
            this.holder = duty.holder;
            this.parts.followers.dropSilent(clock.getNow());
            this.members = this.parts.followers.list();
            this.releaseToStronger(clock.getNow());
            return true;
        }
        if (this.holder === undefined || this.holder.incarnation === self.incarnation) {
            return false;
        }
        const asked = this.holder;
        const sentAtMs = clock.getNow();
        const request = this.buildFollowRequest();
        const { currentMs } = this.followTimeout;
        const answer = await this.parts.peers.request(asked, FrameKind.FollowCoordinator, request, currentMs);
        this.isRefused = answer.isRefused;
        this.followTimeout.noteOutcome(answer.hasAnswered, clock.getNow() - sentAtMs);
        return answer.hasAnswered && this.takeFollowReply(answer.body as FollowReply, asked, sentAtMs);
    }

    /** The coordinator's work is the same on any VM, so a VM that isn't among the strong hands it to one that is. */
    private releaseToStronger(nowMs: number): void {
        const { duty, self, rules, logger } = this.parts;
        if (duty.isLeaving || duty.heldMs < rules.steadyMs) {
            return;
        }
        const steady = this.parts.followers.listSteady(nowMs, rules.steadyMs);
        if (computeWeakness(self, steady) >= rules.giveWayWeakness) {
            logger.info("term-offered", {
                strength: self.strength,
                strongest: Math.max(...steady.map(vm => vm.strength)),
            });
            duty.announceLeaving();
        }
    }

    private buildFollowRequest(): FollowRequest {
        const { self, config, clock } = this.parts;
        const nowMs = clock.getNow();
        return {
            candidate: self,
            membersVersion: this.membersVersion,
            needsConfig: config.version < 0 || this.ourConfigLag.isStale(nowMs),
            config: this.theirConfigLag.isStale(nowMs) ? config.config : undefined,
        };
    }

    private takeFollowReply(reply: FollowReply, asked: TermHolder, sentAtMs: number): boolean {
        this.takeConfigState(reply);
        this.takeHolder(reply.holder);
        // Another process at its address: the one that held the term has ended.
        this.isRefused = reply.incarnation !== asked.incarnation && this.holder?.term === asked.term;
        if (!reply.isCoordinator || this.holder?.term !== asked.term) {
            return false;
        }
        this.heardAtMs = this.parts.watch.getAttentiveTime();
        this.relay = undefined;
        this.isLeaving = reply.isLeaving;
        this.storeLostMs = reply.storeLostMs;
        this.term.noteStoreSeen(sentAtMs - reply.storeSilentMs);
        this.members = reply.members ?? this.members;
        this.membersVersion = reply.membersVersion;
        return !reply.isLeaving && reply.storeLostMs < this.parts.rules.storeSilenceMs;
    }

    private takeConfigState(reply: FollowReply): void {
        const { config, clock } = this.parts;
        if (reply.config !== undefined) {
            config.takeConfig(reply.config as WorkConfig, "coordinator");
        }
        this.ourConfigLag.note(config.version, reply.configVersion, clock.getNow());
        this.theirConfigLag.note(reply.configVersion, config.version, clock.getNow());
    }

    private takeHolder(holder: TermHolder | undefined): void {
        if (holder === undefined || holder.term <= (this.holder?.term ?? -1)) {
            return;
        }
        const { vm, term } = holder;
        this.parts.logger.info("coordinator-changed", { vm, term, from: this.holder?.vm, fromTerm: this.holder?.term });
        this.changedAtMs = this.holder === undefined ? -Infinity : this.parts.clock.getNow();
        this.holder = holder;
        this.isRefused = false;
        this.isLeaving = false;
        this.storeLostMs = 0;
        this.relay = undefined;
        this.heardAtMs = this.parts.watch.getAttentiveTime();
    }

    /** Finds out what is wrong with the coordinator, and what to do about it. */
    private async resolveDoubt(): Promise<void> {
        const { clock, rules, logger, watch, peers } = this.parts;
        const asked = chooseSome(this.members.filter(member => this.isOtherPeer(member)), PEERS_ASKED);
        const [view, reports] = await Promise.all([
            this.readTerm(),
            requestReports(peers, asked, rules.peerTimeoutMs),
        ]);
        const heard = reports.find(({ report }) => report.heardMs < HEARD_LATELY_MS && this.isCurrent(report.holder));
        reports.forEach(({ report }) => this.takeHolder(report.holder));
        const seen: CoordinatorView = {
            isKnown: this.holder !== undefined && this.holder.incarnation !== this.parts.self.incarnation,
            silentMs: watch.getAttentiveTime() - this.heardAtMs,
            isRefused: this.isRefused,
            isLeaving: this.isLeaving,
            storeSilentMs: this.term.storeSteadyMs >= rules.storeSteadyMs ? this.storeLostMs : 0,
            hasStore: view !== undefined,
            peers: asked.length,
            peersAnswered: reports.length,
            isHeardByPeer: heard !== undefined,
            renewalAgeMs: this.term.renewalAgeMs,
            followers: view?.followers ?? 0,
            members: this.members.length,
            termAgeMs: clock.getNow() - this.changedAtMs,
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
        const view = await this.term.read();
        this.takeHolder(view?.holder);
        return view;
    }

    /** Waits its turn (those near the store go first) and tries to win the term that follows what was read. */
    private async tryStanding(before: TermView, seen: CoordinatorView): Promise<void> {
        const { clock, rules, termLog, duty, logger, self } = this.parts;
        if (before.holder?.incarnation !== self.incarnation) {
            const slower = Math.max(0, this.term.storeMs - NEAR_STORE_MS) * rules.standDelayPerStoreMs;
            const weaker = rules.weakerStandDelayMs * computeWeakness(self, this.members);
            const delayMs = Math.min(rules.maxStandDelayMs, slower) + weaker + Math.random() * rules.standJitterMs;
            await waitFor(clock, delayMs);
        }
        const view = await this.readTerm();
        if (view === undefined || this.isClosed || this.isDraining) {
            return;
        }
        const isOurs = view.holder?.incarnation === self.incarnation;
        if (!isOurs && view.holder?.term !== before.holder?.term) {
            return;
        }
        const isRecorded = [before, view].every(read => this.term.isRecordedFresh(read));
        logger.info("term-candidacy", describeCandidacy(seen, before.holder?.term));
        const won = isOurs ? view.holder : await termLog.tryWin(view.end);
        if (won === undefined) {
            return;
        }
        if (isOurs) {
            termLog.acceptTerm(view);
        }
        this.takeHolder(won);
        await duty.start(won, before.holder !== undefined && !isRecorded);
    }
}
