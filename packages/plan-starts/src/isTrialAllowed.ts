import type { Task } from "@sardinestage/track-jobs";
import { isTelling } from "./isTelling.js";
import { TrialAccess } from "./trialAccess.js";
import { TrialState } from "./trialState.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Whether a task may start on a worker as far as the worker's trial is concerned, if it is on trial. */
export function isTrialAllowed(task: Task, { trial, workerId }: WorkerCapacity, access: TrialAccess): boolean {
    return trial === undefined || isTelling(task, workerId)
        || (access === TrialAccess.All && trial === TrialState.Open);
}
