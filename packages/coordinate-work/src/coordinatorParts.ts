import type { JobState } from "@sardinestage/describe-work";
import type { EvacuationView } from "@sardinestage/track-evacuations";
import type { WorkMeter } from "@sardinestage/watch-loop";
import type { CoordinatorRules } from "./coordinatorRules.js";
import type { PlatformParts } from "./platformParts.js";
import type { EarlierTermView } from "./takeover/earlierTermView.js";

/** Dependencies of a coordinator. */
export interface CoordinatorParts extends PlatformParts {
    readonly rules: CoordinatorRules;
    /** The failure domains on whose workers the operator lets no task start. */
    readonly evacuations: EvacuationView;
    /** The coordinator's term: the fencing token of all orders and the epoch of all records. */
    readonly term: number;
    /**
     * The newest fencing token that the term may use: at least the term, and below every later term. It grows with the
     * term's confirmed renewals, not while the store can't be reached, and never falls.
     */
    readonly getNewestFence: () => number;
    /** Whether this coordinator may start tasks and renew leases now. Its successor counts on it that it doesn't else. */
    readonly hasAuthority: () => boolean;
    readonly earlierTerm: EarlierTermView;
    /**
     * Time since the newest confirmation or promise that this coordinator's authority rests on was asked for, in
     * milliseconds. No lease goes beyond a bound that counts from then.
     */
    readonly getAuthorityAge: () => number;
    /** Time since the last confirmed renewal of the term in the store, in milliseconds. */
    readonly getTermRenewalAge: () => number;
    /** The usual delay of this process's event loop, in milliseconds. */
    readonly getLoopDelay: () => number;
    /** Measures how the time of the process's single thread is spent, by kind of work. */
    readonly meter: WorkMeter;
    /** Whether an earlier coordinator may have started runs without recording them. */
    readonly hadUnrecordedStarts: boolean;
    /** Called when this coordinator has lost the term to another one. */
    readonly onTermLost: (reason: string) => void;
    /** Called with the state of each accepted job and with each later one; with a final state once it is recorded. */
    readonly onJobState?: (id: string, state: JobState) => void;
}
