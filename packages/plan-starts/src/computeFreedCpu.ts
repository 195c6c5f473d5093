import type { StepSpec } from "@sardinestage/describe-work";

/** Reserved CPU that stopping a task frees, in thousandths of a core; 0 for best-effort tasks, which reserve none. */
export function computeFreedCpu(spec: StepSpec): number {
    return spec.isBestEffort ? 0 : spec.cpuMillis;
}
