import type { TaskRef } from "@sardinestage/describe-work";

/** An order to start a run. */
export interface StartOrder {
    readonly task: TaskRef;
    /** Numbers the task's runs, from 1, rising. */
    readonly run: number;
    readonly payload: string;
    /** Until when everything on the worker may run, on the worker's clock; also the last moment to carry this out. */
    readonly leaseUntilMs: number;
    /** The coordinator's fencing token. */
    readonly fence: number;
    /** Where to resume; empty for the beginning. */
    readonly checkpoint: string;
    /** The advice service's permission; empty where none is needed. */
    readonly ticket: string;
}
