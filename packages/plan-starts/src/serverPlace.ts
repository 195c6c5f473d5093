import type { StepRun } from "@sardinestage/track-jobs";

/** A serving task on a worker. */
export interface ServerPlace {
    readonly step: StepRun;
    /** Its target over its tail latency, as it would be without filling tasks; undefined while that isn't known. */
    readonly headroom: number | undefined;
}
