import { JobStateCache } from "@sardinestage/accept-jobs";
import type { Coordinator } from "@sardinestage/coordinate-work";
import type { StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, waitFor } from "@sardinestage/describe-ports";
import { MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { FrameKind } from "@sardinestage/exchange-frames";
import type { Candidate, TermView } from "@sardinestage/keep-term";
import { TermLog } from "@sardinestage/keep-term";
import type { EventLogger } from "@sardinestage/log-events";
import { EventLoopMonitor } from "@sardinestage/watch-loop";
import type { ConfigKeeper } from "../configKeeper.js";
import { defaultRules } from "../defaultRules.js";
import { EvacuationKeeper } from "../evacuationKeeper.js";
import { Followers } from "../followers.js";
import type { FollowRequest } from "../followRequest.js";
import { JobFactFollower } from "../jobFactFollower.js";
import { LocalCoordinator } from "../localCoordinator.js";
import { Membership } from "../membership.js";
import type { Peers } from "../peers.js";
import type { TermParts } from "../termParts.js";

const KEEP_MS = 120_000;

/** VMs that share a store. A test sets how long each VM takes to answer and which of its calls fail. */
export class MembershipInstallation {
    readonly clock = new VirtualClock();
    readonly store = new MemoryStore(this.clock, () => 0.5);
    /** Time that a VM takes to answer its peers, in milliseconds; 2 by default. */
    readonly answerMs = new Map<string, number>();
    /** The VMs that competed for a term, in order. */
    readonly candidacies: string[] = [];
    /** How late a VM reads the store's answers, in milliseconds. */
    readonly readDelayMs = new Map<string, number>();
    /** VMs whose appends the store carries out without an answer. */
    readonly lostAnswers = new Set<string>();
    /** VMs whose appends never reach the store. */
    readonly withoutStore = new Set<string>();
    /** VMs whose coordinator has started tasks that it hasn't recorded yet. */
    readonly withUnrecordedStarts = new Set<string>();
    /** For each term, whether its coordinator had to expect unrecorded starts of its predecessors. */
    readonly hadUnrecordedStarts: boolean[] = [];
    /** VMs whose requests to their peers get no answer. */
    readonly unanswered = new Set<string>();
    private readonly members = new Map<string, Membership>();
    private readonly localCoordinators = new Map<string, LocalCoordinator>();

    addVm(vm: string, strength: number): Membership {
        const { clock } = this;
        const self: Candidate = { vm, incarnation: vm, host: vm, port: 1, strength };
        const store = this.createStore(vm);
        const termLog = new TermLog(store, self, clock);
        const followers = new Followers();
        const loopMonitor = new EventLoopMonitor(clock);
        loopMonitor.start();
        const logger: EventLogger = {
            info: event => {
                if (event === "term-candidacy") {
                    this.candidacies.push(vm);
                }
            },
            warn: () => undefined,
            error: () => undefined,
        };
        const { withUnrecordedStarts } = this;
        const coordinator = {
            open: () => Promise.resolve(true),
            close: () => undefined,
            get hasUnrecordedStarts() {
                return withUnrecordedStarts.has(vm);
            },
        } as unknown as Coordinator;
        const createCoordinator = ({ hadUnrecordedStarts }: TermParts) => {
            this.hadUnrecordedStarts.push(hadUnrecordedStarts);
            return coordinator;
        };
        const rules = defaultRules;
        const jobStateCache = new JobStateCache(clock, KEEP_MS);
        const localCoordinator = new LocalCoordinator({
            termLog,
            store,
            clock,
            logger,
            rules,
            followers,
            jobStateCache,
            getResponsiveTime: () => loopMonitor.getResponsiveTime(),
            createCoordinator,
        });
        const membership = new Membership({
            self,
            termLog,
            localCoordinator,
            peers: { request: this.request.bind(this, vm) } as unknown as Peers,
            followers,
            config: { version: 1, evacuations: new EvacuationKeeper(logger) } as ConfigKeeper,
            jobFacts: new JobFactFollower(jobStateCache),
            clock,
            logger,
            rules,
            loopMonitor,
        });
        this.members.set(vm, membership);
        this.localCoordinators.set(vm, localCoordinator);
        void membership.run();
        return membership;
    }

    /** Reads the newest record of the term. */
    async readTerm(): Promise<TermView | undefined> {
        const self: Candidate = { vm: "reader", incarnation: "reader", host: "reader", port: 1, strength: 1 };
        const reading = new TermLog(this.store, self, this.clock).readTerm();
        await this.clock.runFor(20);
        return await reading;
    }

    /** Kills a VM's process; it doesn't hand its term over. */
    stopVm(vm: string): void {
        const localCoordinator = this.localCoordinators.get(vm);
        this.members.get(vm)?.close();
        this.members.delete(vm);
        localCoordinator?.stop(localCoordinator.holder?.term ?? -1, "killed");
    }

    /** The VM that coordinates; the first one if several do. */
    get coordinator(): string | undefined {
        return [...this.localCoordinators].find(([, localCoordinator]) => localCoordinator.isActive)?.[0];
    }

    /** The VMs that hold a term as far as they know: one without the store hasn't noticed yet that it lost its own. */
    get coordinators(): readonly string[] {
        return [...this.localCoordinators].filter(([, localCoordinator]) => localCoordinator.isActive).map(([vm]) =>
            vm
        );
    }

    private createStore(vm: string): StorePort {
        const { store, clock } = this;
        return {
            append: async call => {
                if (this.withoutStore.has(vm)) {
                    await waitFor(clock, call.timeoutMs);
                    return { outcome: AppendOutcome.Unknown, offset: 0, end: 0 };
                }
                const answer = await store.append(call);
                if (this.lostAnswers.has(vm)) {
                    await waitFor(clock, call.timeoutMs);
                    return { outcome: AppendOutcome.Unknown, offset: 0, end: 0 };
                }
                await waitFor(clock, this.readDelayMs.get(vm) ?? 0);
                return answer;
            },
            read: (topic, from, waitMs) => store.read(topic, from, waitMs),
            readNewest: (topic, afterKey) => store.readNewest(topic, afterKey),
        };
    }

    private async request(vm: string, peer: Candidate, kind: FrameKind, body: unknown, timeoutMs: number) {
        const member = this.unanswered.has(vm) ? undefined : this.members.get(peer.vm);
        const answerMs = this.answerMs.get(peer.vm) ?? 2;
        await waitFor(this.clock, Math.min(timeoutMs, answerMs));
        if (member === undefined || answerMs > timeoutMs) {
            return { body: undefined, isConnectionRefused: false, hasAnswered: false };
        }
        const isFollowing = kind === FrameKind.FollowCoordinator;
        const answer = isFollowing ? member.answerFollowRequest(body as FollowRequest) : member.answerPeerQuery();
        return { body: answer, isConnectionRefused: false, hasAnswered: true };
    }
}
