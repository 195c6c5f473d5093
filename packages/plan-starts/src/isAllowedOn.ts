import type { StepRun } from "@sardinestage/track-jobs";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Whether a worker's service and labels allow the tasks of a step, whatever its free capacity. */
export function isAllowedOn(step: StepRun, worker: WorkerCapacity): boolean {
    const { spec, occurrence } = step;
    return worker.service === occurrence.job.queue.service
        && (spec.requiredLabel === "" || worker.labels.includes(spec.requiredLabel));
}
