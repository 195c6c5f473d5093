import type { RunState } from "./runState.js";
import type { TaskSpec } from "./taskSpec.js";

/** One attempt as a worker reports it; kept by the worker until acknowledged. */
export interface WorkerTask {
    readonly taskId: string;
    /** The binding of the task to this worker. */
    readonly generation: number;
    readonly attempt: number;
    readonly state: RunState;
    readonly spec: TaskSpec;
    /** Share of the work done, 0 to 1. */
    readonly progress: number;
    /** The newest confirmed checkpoint. */
    readonly checkpoint?: string;
    /** Processor share taken away, 0 to 1. */
    readonly throttle: number;
}
