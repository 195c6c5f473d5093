import type { TaskSpec } from "@sardinestage/types";
import type { AttemptRef } from "./attemptRef.js";

/** Orders a worker to start an attempt. Idempotent: a repeated order starts the attempt only once. */
export interface StartOrder extends AttemptRef {
    /** Number of the task's binding to this worker. */
    readonly generation: number;
    readonly spec: TaskSpec;
    /** Handle of the checkpoint from which the attempt resumes. */
    readonly checkpoint?: string;
    /** Task lease in milliseconds: the attempt stops by itself this long after its last renewal. */
    readonly taskTtlMs: number;
}
