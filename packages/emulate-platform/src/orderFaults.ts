import type { CallDelays } from "./callDelays.js";
import type { LateCallReach } from "./lateCallReach.js";

/** Faults injected into the calls to workers. */
export interface OrderFaults {
    /** Share of the starts and stops that get no answer and are applied late, 0 to 1. */
    delayedShare: number;
    /** Share of the lease renewals that get no answer and are applied late, 0 to 1. */
    delayedRenewalShare: number;
    /** Minimum delay of a late call after the caller's timeout, in milliseconds. */
    minDelayMs: number;
    /** Maximum delay of a late call after the caller's timeout, in milliseconds. */
    maxDelayMs: number;
    /** Which lives of the worker apply a late call. */
    lateCallReach: LateCallReach;
    /** Share of the calls that are applied at once and whose answer is lost, 0 to 1. */
    lostAnswerShare: number;
    /** Share of the calls that an unhealthy worker refuses without doing anything, 0 to 1. */
    unhealthyShare: number;
    startDelays: CallDelays;
    stopDelays: CallDelays;
    renewalDelays: CallDelays;
}
