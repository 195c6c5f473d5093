import type { RunState } from "./runState.js";
import type { TaskSpec } from "./taskSpec.js";

/** One attempt as its worker reports it. The worker keeps the record until the record is acknowledged. */
export interface WorkerTask {
    readonly taskId: string;
    /** Number of the task's binding to this worker. */
    readonly generation: number;
    readonly attempt: number;
    readonly state: RunState;
    readonly spec: TaskSpec;
    /** Completed share of the work, 0 to 1. */
    readonly progress: number;
    /** Handle of the newest confirmed checkpoint. */
    readonly checkpoint?: string;
    /** Share of the attempt's processor time that is withheld, 0 to 1. */
    readonly throttle: number;
}
