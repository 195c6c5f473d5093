import type { StepRun } from "@sardinestage/track-jobs";
import type { WorkerRoom } from "./workerRoom.js";

/** Whether a step's tasks may run on a worker at all, room aside. */
export function isAllowedOn(step: StepRun, room: WorkerRoom): boolean {
    const { spec, occurrence } = step;
    return room.service === occurrence.job.queue.service
        && (spec.requiredLabel === "" || room.labels.includes(spec.requiredLabel));
}
