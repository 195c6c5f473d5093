import type { CoordinatorCall, CoordinatorClient, CoordinatorReply } from "@sardinestage/accept-jobs";
import type { Clock } from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import { FrameKind } from "@sardinestage/exchange-frames";
import type { Candidate, CoordinatorView, TermHolder, TermLog, TermView } from "@sardinestage/keep-term";
import { CandidacyStep, chooseCandidacyStep } from "@sardinestage/keep-term";
import { AdaptiveTimeout } from "@sardinestage/learn-behaviour";
import type { EventLogger } from "@sardinestage/log-events";
import type { EventLoopMonitor } from "@sardinestage/watch-loop";
import { AuthorityKeeper } from "./authorityKeeper.js";
import { Candidacy } from "./candidacy.js";
import { CandidacyPromise } from "./candidacyPromise.js";
import { computeWeakness } from "./computeWeakness.js";
import { ConfigExchange } from "./configExchange.js";
import type { ConfigKeeper } from "./configKeeper.js";
import type { EntryVmRules } from "./entryVmRules.js";
import type { Followers } from "./followers.js";
import type { FollowReply } from "./followReply.js";
import type { FollowRequest } from "./followRequest.js";
import { HolderHistory } from "./holderHistory.js";
import type { JobFactFollower } from "./jobFactFollower.js";
import { JobRoom } from "./jobRoom.js";
import { listRelayVms } from "./listRelayVms.js";
import type { LocalCoordinator } from "./localCoordinator.js";
import type { PeerQuery } from "./peerQuery.js";
import type { PeerReport } from "./peerReport.js";
import type { Peers } from "./peers.js";
import { pickRandom } from "./pickRandom.js";
import { requestPeerReports } from "./requestPeerReports.js";
import { TermObserver } from "./termObserver.js";

/** A peer counts as connected to the coordinator if it got an answer less than this ago, in milliseconds. */
const MAX_REPORT_AGE_MS = 700;
/** Upper bound of the adaptive timeout of follow requests, in milliseconds. */
const MAX_FOLLOW_TIMEOUT_MS = 2000;
/** Peers that are asked about a suspected coordinator. Asking all of them would flood a large installation. */
const MAX_PEERS_ASKED = 5;
/** Pause between two checks of a suspected coordinator, in milliseconds. */
const SUSPICION_CHECK_PAUSE_MS = 100;

/** Dependencies of a membership. */
interface MembershipParts {
    readonly self: Candidate;
    readonly termLog: TermLog;
    readonly localCoordinator: LocalCoordinator;
    readonly peers: Peers;
    readonly followers: Followers;
    readonly config: ConfigKeeper;
    readonly jobFacts: JobFactFollower;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly rules: EntryVmRules;
    readonly loopMonitor: EventLoopMonitor;
}

/**
 * Tracks which process holds the coordinator's term and follows that process with periodic requests. When the
 * coordinator doesn't answer, this process calls it through a peer or tries to win the next term.
 */
export class Membership implements CoordinatorClient {
    /** The holder of the newest term that is known here. */
    private holder: TermHolder | undefined;
    /**
     * When the coordinator last answered, on a clock that leaves out stalls of this process's event loop: answers that
     * wait unread during a stall don't count as the coordinator's silence.
     */
    private lastAnswerAtMs: number;
    /** Whether the coordinator's address refuses connections or belongs to another process by now. */
    private isRefused = false;
    /** Whether the coordinator has asked the others to take over. */
    private isLeaving = false;
    /** How long the coordinator's calls to the store have failed, by its last answer, in milliseconds. */
    private storeLostMs = 0;
    /** The peer that forwards calls to the coordinator, which this process can't reach directly. */
    private relay: Candidate | undefined;
    /** The VMs that follow the coordinator, as the coordinator last listed them. */
    private members: readonly Candidate[] = [];
    private membersVersion = "";
    private readonly term: TermObserver;
    private readonly followTimeout: AdaptiveTimeout;
    private readonly configExchange: ConfigExchange;
    private readonly promise: CandidacyPromise;
    private readonly authorityKeeper: AuthorityKeeper;
    private readonly candidacy: Candidacy;
    private readonly holderHistory: HolderHistory;
    private isClosed = false;
    private isDraining = false;

    constructor(private readonly parts: MembershipParts, private readonly jobRoom = new JobRoom(parts.clock)) {
        this.lastAnswerAtMs = parts.loopMonitor.getResponsiveTime();
        this.followTimeout = new AdaptiveTimeout({ leastMs: parts.rules.silenceMs / 2, mostMs: MAX_FOLLOW_TIMEOUT_MS });
        this.holderHistory = new HolderHistory(parts.clock, parts.self);
        this.configExchange = new ConfigExchange(parts.config, parts.clock);
        this.term = new TermObserver(parts.termLog, parts.clock, parts.rules);
        this.promise = new CandidacyPromise(parts.clock, this.term, parts.termLog);
        this.authorityKeeper = new AuthorityKeeper(parts, holder => this.updateHolder(holder));
        this.candidacy = new Candidacy({
            ...parts,
            term: this.term,
            promise: this.promise,
            authorityKeeper: this.authorityKeeper,
            readTerm: () => this.readTerm(),
            updateHolder: holder => this.updateHolder(holder),
            mayCompete: () => !this.isClosed && !this.isDraining,
            isClosed: () => this.isClosed,
            getHolderKnownSince: () => this.holderHistory.knownSinceMs,
        });
    }

    /** Follows the coordinator until closed. */
    async run(): Promise<void> {
        const { clock, rules } = this.parts;
        while (!this.isClosed) {
            const startedAtMs = clock.getNow();
            const isHealthy = await this.checkCoordinator();
            if (isHealthy) {
                await waitFor(clock, Math.max(10, rules.followIntervalMs - (clock.getNow() - startedAtMs)));
            }
            else if (!this.isClosed) {
                await this.handleSuspectedCoordinator();
            }
        }
    }

    /** Stops competing for terms. If this process coordinates, it continues until another one has taken over. */
    drain(): void {
        this.isDraining = true;
        this.parts.localCoordinator.announceLeaving();
    }

    /** Stops following, and coordinating if this process does: nobody could reach it to tell it of its successor. */
    close(): void {
        this.isClosed = true;
        this.parts.localCoordinator.stopAnyTerm("closed");
    }

    /** Whether this process coordinates. */
    get isCoordinator(): boolean {
        return this.parts.localCoordinator.isActive;
    }

    /** The newest term that is known here; 0 if none is. */
    get knownTerm(): number {
        return this.holder?.term ?? 0;
    }

    /** Memory that this VM may let new jobs take of the coordinator, in bytes; undefined if none told of it lately. */
    get freeJobBytes(): number | undefined {
        return this.jobRoom.computePart(this.members.length, this.parts.localCoordinator.freeJobBytes);
    }

    /** The VMs that may relay calls for this coordinator. */
    get relays(): readonly Candidate[] {
        return listRelayVms(this.parts, this.members);
    }

    /** Calls the coordinator, which may be this process, or a peer that forwards the call if there is a relay. */
    async call(call: CoordinatorCall, timeoutMs: number): Promise<CoordinatorReply | undefined> {
        if (this.parts.localCoordinator.isActive) {
            return this.parts.localCoordinator.answer(call);
        }
        const target = this.relay ?? this.holder;
        // Whichever process of this VM the term names, nobody else answers at its address.
        if (target === undefined || target.vm === this.parts.self.vm) {
            return { isUnsent: true };
        }
        const answer = await this.parts.peers.request(target, FrameKind.CallCoordinator, call, timeoutMs);
        if (answer.isConnectionRefused) {
            return { isUnsent: true };
        }
        return answer.hasAnswered ? answer.body as CoordinatorReply : undefined;
    }

    /**
     * Answers a peer's call to the coordinator, or forwards it to the process that coordinates, unless a peer has
     * forwarded it before: two VMs may take each other for the coordinator.
     */
    async answerCall(call: CoordinatorCall, timeoutMs: number): Promise<CoordinatorReply> {
        if (this.parts.localCoordinator.isActive) {
            return this.parts.localCoordinator.answer(call);
        }
        if (this.relay !== undefined || call.isForwarded === true) {
            return { isUnsent: true };
        }
        return await this.call({ ...call, isForwarded: true }, timeoutMs) ?? { isUnsure: true };
    }

    /** Answers a follow request and registers its sender as a follower. */
    answerFollowRequest(request: FollowRequest): FollowReply {
        const { self, localCoordinator, clock, followers } = this.parts;
        followers.noteFollower(request.candidate, clock.getNow(), request.isDraining);
        followers.dropSilent(clock.getNow());
        this.updateHolder(request.holder);
        this.configExchange.applyRequest(request);
        const membersVersion = `${self.incarnation}/${followers.version}`;
        return {
            holder: localCoordinator.holder ?? this.holder,
            incarnation: self.incarnation,
            ...localCoordinator.buildReply(request.jobFacts),
            membersVersion,
            members: localCoordinator.isActive && request.membersVersion !== membersVersion
                ? [self, ...followers.list()]
                : undefined,
            ...this.configExchange.buildReply(request),
        };
    }

    /** Reports to a peer which coordinator this process knows, and when it last answered. */
    answerPeerQuery(query: PeerQuery = {}): PeerReport {
        const { localCoordinator, loopMonitor } = this.parts;
        this.updateHolder(query.holder);
        if (localCoordinator.isActive) {
            return { holder: localCoordinator.holder, heardMs: 0 };
        }
        const heardMs = loopMonitor.getResponsiveTime() - this.lastAnswerAtMs;
        const isAsked = query.promiseForTerm !== undefined && query.promiseForTerm === this.holder?.term;
        return { holder: this.holder, heardMs, isPromised: isAsked && this.promise.tryGiving(this.isDraining) };
    }

    /**
     * Sends a follow request to the coordinator.
     *
     * @returns Whether there is a healthy coordinator, here or elsewhere, that neither leaves nor lacks the store.
     */
    private async checkCoordinator(): Promise<boolean> {
        const { localCoordinator, self, clock, loopMonitor } = this.parts;
        if (localCoordinator.isActive) {
            this.lastAnswerAtMs = loopMonitor.getResponsiveTime();
            this.term.noteStoreContact(clock.getNow() - localCoordinator.storeSilentMs);
            this.holder = localCoordinator.holder;
            this.parts.followers.dropSilent(clock.getNow());
            void this.authorityKeeper.requestPromises();
            this.members = this.parts.followers.list();
            this.releaseTermToStronger(clock.getNow());
            return true;
        }
        if (this.holder === undefined || this.holder.vm === self.vm) {
            // A former process of this VM has ended.
            this.isRefused = this.holder !== undefined && this.holder.incarnation !== self.incarnation;
            return false;
        }
        const asked = this.holder;
        const sentAtMs = clock.getNow();
        const request = this.buildFollowRequest();
        const timeoutMs = this.followTimeout.currentMs;
        const answer = await this.parts.peers.request(asked, FrameKind.FollowCoordinator, request, timeoutMs);
        this.isRefused = answer.isConnectionRefused;
        this.followTimeout.noteOutcome(answer.hasAnswered, clock.getNow() - sentAtMs);
        return answer.hasAnswered && this.applyFollowReply(answer.body as FollowReply, asked, sentAtMs);
    }

    /** Offers the term to the others if one of them is much stronger: a weak VM has the same load as a strong one. */
    private releaseTermToStronger(nowMs: number): void {
        const { localCoordinator, self, rules, logger } = this.parts;
        if (localCoordinator.isLeaving || localCoordinator.termHeldMs < rules.minHandoverTermMs) {
            return;
        }
        const activeFollowers = this.parts.followers.listActiveFor(nowMs, rules.minHandoverTermMs);
        if (computeWeakness(self, activeFollowers) >= rules.handoverWeakness) {
            logger.info("term-offered", {
                strength: self.strength,
                strongest: Math.max(...activeFollowers.map(vm => vm.strength)),
            });
            localCoordinator.announceLeaving();
        }
    }

    private buildFollowRequest(): FollowRequest {
        return {
            candidate: this.parts.self,
            holder: this.holder,
            isDraining: this.isDraining,
            membersVersion: this.membersVersion,
            jobFacts: this.parts.jobFacts.known,
            ...this.configExchange.buildRequest(),
        };
    }

    private applyFollowReply(reply: FollowReply, asked: TermHolder, sentAtMs: number): boolean {
        this.configExchange.applyReply(reply);
        this.updateHolder(reply.holder);
        // Another incarnation answers at the address, so the process that held the term has ended.
        this.isRefused = reply.incarnation !== asked.incarnation && this.holder?.term === asked.term;
        if (!reply.isCoordinator || this.holder?.term !== asked.term) {
            return false;
        }
        this.parts.jobFacts.applyFacts(reply.jobFacts, sentAtMs);
        this.lastAnswerAtMs = this.parts.loopMonitor.getResponsiveTime();
        this.relay = undefined;
        this.isLeaving = reply.isLeaving;
        this.storeLostMs = reply.storeLostMs;
        this.term.noteStoreContact(sentAtMs - reply.storeSilentMs);
        this.jobRoom.note(reply.freeJobBytes, sentAtMs);
        this.members = reply.members ?? this.members;
        this.membersVersion = reply.membersVersion;
        return !reply.isLeaving && reply.storeLostMs < this.parts.rules.storeSilenceMs;
    }

    private updateHolder(holder: TermHolder | undefined): void {
        if (holder === undefined || holder.term <= (this.holder?.term ?? -1)) {
            return;
        }
        const { vm, term } = holder;
        this.parts.localCoordinator.stopAnyTerm("told-of-later-term");
        this.parts.logger.info("coordinator-changed", { vm, term, from: this.holder?.vm, fromTerm: this.holder?.term });
        this.holderHistory.noteHolder(holder);
        this.holder = holder;
        this.isRefused = false;
        this.isLeaving = false;
        this.storeLostMs = 0;
        this.relay = undefined;
        this.lastAnswerAtMs = this.parts.loopMonitor.getResponsiveTime();
    }

    /** Asks the store and some peers about the coordinator, then waits, picks a relay or competes for the next term. */
    private async handleSuspectedCoordinator(): Promise<void> {
        const { clock, rules, logger, loopMonitor, peers } = this.parts;
        const asked = pickRandom(this.members.filter(member => this.isOtherPeer(member)), MAX_PEERS_ASKED);
        const [view, reports] = await Promise.all([
            this.readTerm(),
            requestPeerReports(peers, asked, { holder: this.holder }, rules.peerTimeoutMs),
        ]);
        const fresh = reports.find(({ report }) => report.heardMs < MAX_REPORT_AGE_MS && this.isCurrent(report.holder));
        reports.forEach(({ report }) => this.updateHolder(report.holder));
        const coordinator: CoordinatorView = {
            isKnown: this.holder !== undefined && this.holder.incarnation !== this.parts.self.incarnation,
            silentMs: loopMonitor.getResponsiveTime() - this.lastAnswerAtMs,
            isConnectionRefused: this.isRefused,
            isLeaving: this.isLeaving,
            storeSilentMs: this.term.storeAvailableMs >= rules.minStoreAvailableMs ? this.storeLostMs : 0,
            isStoreAvailable: view !== undefined,
            peers: asked.length,
            peersAnswered: reports.length,
            isReachableByPeer: fresh !== undefined,
            renewalAgeMs: this.term.renewalAgeMs,
            followers: view?.followers ?? 0,
            members: this.members.length,
            termAgeMs: this.holderHistory.termAgeMs,
        };
        const step = chooseCandidacyStep(coordinator, rules);
        if (step === CandidacyStep.Campaign && view !== undefined && !this.isDraining) {
            await this.candidacy.run(view, coordinator, this.members);
            return;
        }
        if (step === CandidacyStep.Relay && fresh !== undefined) {
            if (this.relay?.vm !== fresh.peer.vm) {
                logger.warn("coordinator-relayed", { vm: this.holder?.vm, through: fresh.peer.vm });
            }
            this.relay = fresh.peer;
        }
        await waitFor(clock, SUSPICION_CHECK_PAUSE_MS);
    }

    private isCurrent(holder: TermHolder | undefined): boolean {
        return holder !== undefined && holder.term >= (this.holder?.term ?? 0);
    }

    private isOtherPeer(member: Candidate): boolean {
        return member.vm !== this.parts.self.vm && member.vm !== this.holder?.vm;
    }

    private async readTerm(): Promise<TermView | undefined> {
        const view = await this.term.read();
        this.updateHolder(view?.holder);
        return view;
    }
}
