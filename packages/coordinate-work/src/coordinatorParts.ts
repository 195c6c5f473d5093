import type { WorkMeter } from "@sardinestage/watch-loop";
import type { CoordinatorRules } from "./coordinatorRules.js";
import type { PlatformParts } from "./platformParts.js";

/** What a coordinator works with. */
export interface CoordinatorParts extends PlatformParts {
    readonly rules: CoordinatorRules;
    /** The term that was won: the fencing token of all orders and the epoch of all records. */
    readonly term: number;
    /** Time since the term was last renewed in the store for certain, in milliseconds. */
    readonly getRenewalAge: () => number;
    /** How late this process's loop usually is, in milliseconds. */
    readonly getLoopDelay: () => number;
    /** Measures what the process's one thread is spent on. */
    readonly meter: WorkMeter;
    /** Whether an earlier coordinator may have started work without recording it. */
    readonly hadUnrecordedStarts: boolean;
    /** Called once when somebody else has taken over. */
    readonly onDeposed: (reason: string) => void;
}
