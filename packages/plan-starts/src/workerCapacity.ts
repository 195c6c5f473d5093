import type { StepSpec } from "@sardinestage/describe-work";
import type { CapacityAhead } from "./capacityAhead.js";
import type { ServingPlacement } from "./servingPlacement.js";
import type { TrialState } from "./trialState.js";

/** A worker's free capacity in a planning round, which subtracts the tasks that it plans. */
export interface WorkerCapacity {
    readonly workerId: string;
    readonly service: string;
    readonly rack: string;
    readonly labels: readonly string[];
    /** Total capacity, in thousandths of a core. */
    readonly capacityCpuMillis: number;
    /** Capacity that no task has reserved, in thousandths of a core. */
    freeCpuMillis: number;
    /** Capacity reserved by run-to-completion tasks, which comes free when they end, in thousandths of a core. */
    runToCompletionCpuMillis: number;
    /** The sum over these tasks of reserved capacity times estimated duration, in thousandths of a core x milliseconds. */
    runToCompletionWork: number;
    freeMemoryMb: number;
    freeAccelerators: number;
    /** Capacity that best-effort tasks have requested but not reserved, in thousandths of a core. */
    bestEffortCpuMillis: number;
    /** The serving tasks on the worker. */
    readonly servingTasks: ServingPlacement[];
    /** The steps of the best-effort tasks on the worker, one entry per task. */
    readonly bestEffortSpecs: StepSpec[];
    /** How many more tasks may start on the worker in this round; few on a worker on probation. */
    startsLeft: number;
    /**
     * Whether the worker is reserved for tasks that wait for its present work to end. Of others, only interrupted
     * long-running tasks start there.
     */
    isReserved: boolean;
    /** Which tasks may start on the worker; undefined if it isn't on trial, so that all may. */
    trial?: TrialState | undefined;
    /** What is expected after now; undefined if capacity isn't planned ahead. */
    readonly ahead?: CapacityAhead;
}
