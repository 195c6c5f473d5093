import type { Clock } from "@sardinestage/describe-ports";
import { FrameKind } from "@sardinestage/exchange-frames";
import type { Candidate, EarlierTerm, TermHolder } from "@sardinestage/keep-term";
import { authorityTimes, Instant } from "@sardinestage/keep-term";
import type { EventLogger } from "@sardinestage/log-events";
import type { Followers } from "./followers.js";
import type { LocalCoordinator } from "./localCoordinator.js";
import type { PeerQuery } from "./peerQuery.js";
import type { PeerReport } from "./peerReport.js";
import type { Peers } from "./peers.js";

/** A coordinator without a confirmation of its term for this long asks the others for promises, in milliseconds. */
const UNCONFIRMED_MS = 700;
/** Timeout of a request for a promise, in milliseconds: less than the promise lasts. */
const PROMISE_TIMEOUT_MS = 600;
/** Timeout of the news of a won term, in milliseconds. */
const ANNOUNCE_TIMEOUT_MS = 1000;

/** Dependencies of an authority keeper. */
interface AuthorityKeeperParts {
    readonly self: Candidate;
    readonly localCoordinator: LocalCoordinator;
    readonly peers: Peers;
    readonly followers: Followers;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/**
 * Settles with the other VMs whose authority holds: a new coordinator tells them of its term, and one that the store
 * doesn't answer asks for their promises.
 */
export class AuthorityKeeper {
    /**
     * @param parts Dependencies.
     * @param noteHolder Called with each holder of a term that another VM names.
     */
    constructor(
        private readonly parts: AuthorityKeeperParts,
        private readonly noteHolder: (holder: TermHolder | undefined) => void,
    ) {}

    /**
     * Asks all VMs that might compete for their promise not to, while the store doesn't answer the coordinator in this
     * process. Of VMs that have been silent for long before that it is assumed that they are gone. A VM that refuses the
     * connection promises nothing: its process may be there behind a cut and have the store.
     */
    async requestPromises(): Promise<void> {
        const { localCoordinator, followers, peers, clock } = this.parts;
        const { holder, termAuthority } = localCoordinator;
        if (holder === undefined || termAuthority === undefined || termAuthority.unconfirmedMs < UNCONFIRMED_MS) {
            return;
        }
        const askedAt = Instant.readNow(clock);
        const asked = followers.listHeardSince(termAuthority.confirmedAtMs - authorityTimes.followedWithinMs);
        const query: PeerQuery = { holder, promiseForTerm: holder.term };
        const answers = await Promise.all(
            asked.map(peer => peers.request(peer, FrameKind.AskPeer, query, PROMISE_TIMEOUT_MS)),
        );
        const reports = answers.map(({ hasAnswered, body }) => hasAnswered ? body as PeerReport : undefined);
        reports.forEach(report => this.noteHolder(report?.holder));
        const arePromised = reports.every(report => report?.isPromised === true);
        if (arePromised && localCoordinator.holder?.term === holder.term) {
            termAuthority.notePromised(askedAt);
        }
    }

    /**
     * Tells the others of a term that this process has won, and finds out whether its predecessor has stopped. Only an
     * answer shows that: the predecessor itself or the next process at its address knows the term. A refused connection
     * may be the work of a cut.
     *
     * @param predecessor The coordinator of the term before; undefined if there was none.
     * @param members The VMs that followed it.
     * @param earlierTerm Is told when the predecessor has certainly stopped.
     */
    async announceTerm(
        won: TermHolder,
        predecessor: TermHolder | undefined,
        members: readonly Candidate[],
        earlierTerm: EarlierTerm,
    ): Promise<void> {
        const { self, peers, followers, clock, logger } = this.parts;
        const query: PeerQuery = { holder: won };
        for (const member of members.filter(({ vm }) => vm !== self.vm && vm !== predecessor?.vm)) {
            followers.noteHeard(member, clock.getNow());
            void peers.request(member, FrameKind.AskPeer, query, ANNOUNCE_TIMEOUT_MS);
        }
        if (predecessor?.vm === self.vm) {
            // It was this process in an earlier term, or a process that ended before this one was started.
            earlierTerm.noteStopped();
        }
        if (predecessor === undefined || predecessor.vm === self.vm) {
            return;
        }
        followers.noteHeard(predecessor, clock.getNow());
        const answer = await peers.request(predecessor, FrameKind.AskPeer, query, ANNOUNCE_TIMEOUT_MS);
        const report = answer.hasAnswered ? answer.body as PeerReport : undefined;
        const hasStopped = (report?.holder?.term ?? 0) >= won.term;
        if (hasStopped) {
            earlierTerm.noteStopped();
        }
        logger.info("predecessor-told", { vm: predecessor.vm, term: won.term, hasStopped });
    }
}
