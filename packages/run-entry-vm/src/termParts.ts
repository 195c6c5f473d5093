import type { JobState } from "@sardinestage/describe-work";
import type { EarlierTerm } from "@sardinestage/keep-term";

/** What a coordinator needs to know of its term. */
export interface TermParts {
    readonly term: number;
    /** Whether an earlier coordinator may have started tasks that the store has no record of. */
    readonly hadUnrecordedStarts: boolean;
    /** Until when earlier coordinators may act. */
    readonly earlierTerm: EarlierTerm;
    /** Whether the coordinator may start tasks and renew leases now. */
    readonly hasAuthority: () => boolean;
    /** Time since the newest confirmation or promise that the authority rests on was asked for, in milliseconds. */
    readonly getAuthorityAge: () => number;
    /** Time since the last confirmed renewal of the term in the store, in milliseconds. */
    readonly getTermRenewalAge: () => number;
    /** The newest fencing token that the term may use: at least the term, below every later one, and never falling. */
    readonly getNewestFence: () => number;
    /** Called when the coordinator has lost the term to another one. */
    readonly onTermLost: (reason: string) => void;
    /** Called with the state of each accepted job and with each later one; with a final state once it is recorded. */
    readonly onJobState: (id: string, state: JobState) => void;
}
