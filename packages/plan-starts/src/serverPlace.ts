import type { StepSpec } from "@sardinestage/describe-work";

/** A serving task on a worker. */
export interface ServerPlace {
    readonly spec: StepSpec;
    /** Its target over its tail latency, as it would be without filling tasks; undefined while that isn't known. */
    readonly headroom: number | undefined;
}
