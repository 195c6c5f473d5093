import type { StepSpec } from "@sardinestage/describe-work";
import type { Resources } from "@sardinestage/plan-capacity";

/** Describes the resources that tasks of a step reserve; best-effort tasks reserve no processor. */
export function describeNeed(spec: StepSpec, count = 1): Resources {
    return {
        cpuMillis: spec.isBestEffort ? 0 : spec.cpuMillis * count,
        memoryMb: spec.memoryMb * count,
        accelerators: spec.accelerators * count,
    };
}
