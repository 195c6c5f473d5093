import type { StepRun } from "@sardinestage/track-jobs";

/** A serving task placed on a worker. */
export interface ServingPlacement {
    readonly step: StepRun;
    /** Its latency target divided by its expected tail latency without best-effort tasks; undefined while unknown. */
    readonly headroom: number | undefined;
}
