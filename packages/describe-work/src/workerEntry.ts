import type { Capacity } from "./capacity.js";
import type { WorkerState } from "./workerState.js";

/** A worker's entry in the platform's list. */
export interface WorkerEntry {
    readonly id: string;
    /** When this worker instance started, in Unix milliseconds; a restarted worker may have the same id. */
    readonly bornMs: number;
    readonly service: string;
    /** `host:port`. */
    readonly address: string;
    /** Failure domain of the worker. */
    readonly domain: string;
    readonly state: WorkerState;
    readonly capacity: Capacity;
    /** All labels of the worker: its kind, then its rack. */
    readonly labels: readonly string[];
    /** Rack of the worker; empty if unknown. */
    readonly rack: string;
    /** For a draining worker, the minimum time until it leaves, in milliseconds. */
    readonly remainingMs: number;
    /** How much longer the worker stays slow after its start, in milliseconds; 0 if it doesn't. */
    readonly coldRemainingMs: number;
}
