import type { StepSpec } from "@sardinestage/describe-work";

/** The reserved processor that comes free when a task is stopped; filling tasks reserve none. */
export function computeFreedCpu(spec: StepSpec): number {
    return spec.fillsLeftover ? 0 : spec.cpuMillis;
}
