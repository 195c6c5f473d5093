import type { Capacity } from "./capacity.js";
import type { WorkerState } from "./workerState.js";

/** A worker's entry in the platform's list. */
export interface WorkerEntry {
    readonly id: string;
    /** When this life of the worker began, in Unix milliseconds; a worker may return under its old id. */
    readonly bornMs: number;
    readonly service: string;
    /** `host:port`. */
    readonly address: string;
    readonly domain: string;
    readonly state: WorkerState;
    readonly capacity: Capacity;
    /** All its labels: its kind and its rack. */
    readonly labels: readonly string[];
    /** The rack that it stands in; empty when it doesn't say. */
    readonly rack: string;
    /** While it drains: at least so long it stays, in milliseconds. */
    readonly remainingMs: number;
}
