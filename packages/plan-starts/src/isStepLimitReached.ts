import type { StepSpec } from "@sardinestage/describe-work";

/** Whether a step has as many tasks on a worker as it may have there, room aside. */
export function isStepLimitReached(spec: StepSpec, tasksThere = 0): boolean {
    return spec.maxTasksPerWorker > 0 && tasksThere >= spec.maxTasksPerWorker;
}
