import type { StepSpec } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import type { PlacementView } from "./placementView.js";
import type { ReservationPlanner } from "./reservationPlanner.js";
import type { WorkerCapacity } from "./workerCapacity.js";
import type { WorkerSpeeds } from "./workerSpeeds.js";
import type { WorkerTrust } from "./workerTrust.js";

/** Limits of a planning round, and its access to placement data. */
export interface StartRules {
    /** Maximum number of starts in one round; the next round follows at once. */
    readonly maxStarts: number;
    /** How long a best-effort task waits for a worker where no serving task nears its target, in milliseconds. */
    readonly maxBestEffortWaitMs: number;
    /** Whether the queue's advice service, if any, allows the task on the worker; the same for all tasks of a step. */
    readonly isAdvised: (task: Task, workerId: string) => boolean;
    /** Estimates the interference of a task with the tasks on a worker; equal for tasks of one image, size and kind. */
    readonly describePlacement: (worker: WorkerCapacity, spec: StepSpec) => PlacementView;
    /** Scores a placement; the highest score wins. `computePlacementScore` if left out. */
    readonly computeScore?: (worker: WorkerCapacity, spec: StepSpec, view: PlacementView) => number;
    /** Plans reserved starts; if left out, workers are reserved as a whole (`reserveWorkers`). */
    readonly reservations?: ReservationPlanner;
    /** Whether a worker is so slow that it is avoided while others have room; undefined if speeds don't matter. */
    readonly isSlow?: (workerId: string) => boolean;
    /** The slow and cold workers, which tasks with little slack avoid; undefined if there are none or it doesn't matter. */
    readonly speeds?: WorkerSpeeds;
    /** Estimates the soundness of a worker for tasks with one attempt left; undefined if these are placed like all others. */
    readonly estimateTrust?: (workerId: string) => WorkerTrust;
    /** Returns when the newest run was started that proves a worker, in steady milliseconds; with `estimateTrust`. */
    readonly getProvenAt?: (workerId: string) => number;
}
