import type { TaskSpec } from "@sardinestage/types";
import type { AttemptRef } from "./attemptRef.js";

/** Asks a worker to start an attempt; repeating it has one effect. */
export interface StartOrder extends AttemptRef {
    readonly generation: number;
    readonly spec: TaskSpec;
    /** Where to resume from. */
    readonly checkpoint?: string;
    /** The attempt stops by itself so long after its last renewal. */
    readonly taskTtlMs: number;
}
