import type { StepSpec } from "./stepSpec.js";

/** A job as a caller submits it. */
export interface JobSpec {
    /** Opaque data, passed to the workers unchanged. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    /** How many times the steps run; 0 for a job that runs once, without a start time. */
    readonly repeatCount: number;
    /** When the first occurrence is due, in Unix milliseconds; used only if `repeatCount` is above 0. */
    readonly firstRunMs: number;
    /** Time between the due times of two occurrences, in milliseconds. */
    readonly intervalMs: number;
}
