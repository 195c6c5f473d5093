import type { TaskRef } from "@sardinestage/describe-work";

/** In what emulated workers differ. */
export interface EmulatedWorkerTraits {
    /** Rate of the worker's steady clock, on which its lease is measured; 0.98 for a clock that is 2% slow. */
    readonly clockRate: number;
    /**
     * Changes the duration of a run that starts here, in milliseconds, as a faulty or slow worker does; the result is
     * negative if the run fails after that time. Undefined to leave it as it is.
     */
    readonly changeDuration?: (durationMs: number) => number;
    /** Returns what a task requests, for a worker that refuses what doesn't fit; undefined to start everything. */
    readonly getDemand: ((task: TaskRef) => { readonly cpuMillis: number; readonly memoryMb: number }) | undefined;
    /** The worker's failure domain; `here` by default. */
    readonly domain?: string;
    /** How long the worker's entry says that it stays slow after its start, in milliseconds; 0 by default. */
    readonly coldMs?: number;
    /** Whether a task's runs make no progress here; none does by default. */
    readonly isStalled?: (task: TaskRef) => boolean;
}
