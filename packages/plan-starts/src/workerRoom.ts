import type { StepSpec } from "@sardinestage/describe-work";
import type { ServerPlace } from "./serverPlace.js";

/** What a worker has left, as a planning round sees it; the round takes from it. */
export interface WorkerRoom {
    readonly workerId: string;
    readonly service: string;
    readonly rack: string;
    readonly labels: readonly string[];
    /** Thousandths of a core in all. */
    readonly capacityCpuMillis: number;
    /** Thousandths of a core that no task has reserved. */
    freeCpuMillis: number;
    /** Thousandths of a core that tasks have reserved which end by themselves. */
    endingCpuMillis: number;
    freeMemoryMb: number;
    freeAccelerators: number;
    /** Thousandths of a core that filling tasks asked for. */
    fillCpuMillis: number;
    /** The serving tasks there. */
    readonly servers: ServerPlace[];
    /** The steps of the filling tasks there, one entry a task. */
    readonly fillers: StepSpec[];
    /** How many more starts it may get in this round; a worker on probation gets few. */
    startsLeft: number;
}
