import type { Clock } from "@sardinestage/describe-ports";
import type { TermLog } from "@sardinestage/keep-term";
import { authorityTimes } from "@sardinestage/keep-term";
import type { TermObserver } from "./termObserver.js";

/** A failed read of the store shows for this long that the store is away, in milliseconds. */
const MAX_FAILURE_AGE_MS = 1500;
/** A process that is asked for its promise reads the store if it last did so longer ago, in milliseconds. */
const MAX_READ_AGE_MS = 300;

/**
 * The promise of a process not to compete for the term. A coordinator without the store asks for it: while the store is
 * away for all, work goes on under the authority of these promises. A process to which the store answers gives none,
 * since it may have to replace a coordinator that is cut off.
 */
export class CandidacyPromise {
    private keptUntilMs = -Infinity;

    constructor(
        private readonly clock: Clock,
        private readonly term: TermObserver,
        private readonly termLog: TermLog,
    ) {}

    /** Whether a promise forbids to compete now. */
    get isKept(): boolean {
        return this.clock.getNow() < this.keptUntilMs;
    }

    /**
     * Gives the promise, if this process may.
     *
     * @param isDraining Whether this process is about to stop, so that it doesn't compete in any case.
     * @returns Whether the promise is given.
     */
    tryGiving(isDraining: boolean): boolean {
        if (this.term.readAgeMs >= MAX_READ_AGE_MS) {
            // Finds out for the next request whether the store answers.
            void this.term.read();
        }
        const isStoreAway = this.term.readFailureAgeMs < MAX_FAILURE_AGE_MS;
        if (this.termLog.hasUnsettledTry || (!isDraining && !isStoreAway)) {
            return false;
        }
        this.keptUntilMs = this.clock.getNow() + authorityTimes.promiseKeptMs;
        return true;
    }
}
