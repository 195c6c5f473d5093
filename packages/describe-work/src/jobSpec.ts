import type { StepSpec } from "./stepSpec.js";

/** What a caller hands in. */
export interface JobSpec {
    /** Handed to the workers as it came. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    /** How often the steps run; 0 for once, at once. */
    readonly repeatCount: number;
    /** When the first occurrence is due, in Unix milliseconds; only with `repeatCount`. */
    readonly firstRunMs: number;
    /** Time between two occurrences, in milliseconds. */
    readonly intervalMs: number;
}
