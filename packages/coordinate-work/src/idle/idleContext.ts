import type { StepRun } from "@sardinestage/track-jobs";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import type { IdleReason } from "./idleReason.js";

/** What `explainIdle` needs to know beside the task. */
export interface IdleContext {
    readonly findWorker: (workerId: string) => TrackedWorker | undefined;
    /** Explains why the step's waiting tasks have no worker. */
    readonly explainWaiting: (step: StepRun) => IdleReason;
}
