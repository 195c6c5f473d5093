import type { StepSpec } from "@sardinestage/describe-work";

/** Whether a step has reached its limit of tasks on a worker. */
export function isStepLimitReached(spec: StepSpec, tasksOnWorker = 0): boolean {
    return spec.maxTasksPerWorker > 0 && tasksOnWorker >= spec.maxTasksPerWorker;
}
