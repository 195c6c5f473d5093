import type { StoreLimits } from "@sardinestage/describe-ports";
import type { SchedulingFeatures } from "./schedulingFeatures.js";

/** Times and limits of a coordinator. */
export interface CoordinatorRules {
    /**
     * Length of a worker's lease: how long a worker keeps running its tasks without a renewal, in milliseconds. The
     * next coordinator waits this long for workers that don't answer, so it has to be the same on all VMs that may
     * coordinate.
     */
    readonly leaseMs: number;
    /** The longest lease that a worker grants, in milliseconds; an earlier coordinator may have asked for it. */
    readonly maxLeaseMs: number;
    /** How long the state of a finished job is kept, in milliseconds. */
    readonly keepFinishedMs: number;
    /** A serving task may exceed its latency target for at most this long, in milliseconds. */
    readonly harmMs: number;
    /** Time until a change of a task's pace takes effect, in milliseconds. */
    readonly paceMs: number;
    /** An entry that disappeared while the store was unavailable is listed again within this time, in milliseconds. */
    readonly entryReturnMs: number;
    readonly storeLimits: StoreLimits;
    /** Memory that open jobs may take, by estimate, in bytes; beyond it new ones are refused. No limit if left out. */
    readonly maxOpenJobBytes?: number;
    readonly features: SchedulingFeatures;
}
