import type { Resources } from "./resources.js";

/** Resources that come free when a running task ends. */
export interface ExpectedEnd extends Resources {
    /** When the task is expected to end, in milliseconds. */
    readonly atMs: number;
}
