import type { Resources } from "./resources.js";
import type { Urgency } from "./urgency.js";
import type { WorkKind } from "./workKind.js";

/** What an operator asks to have run. */
export interface TaskSpec {
    /** Chosen by the submitter; the same id is the same task. */
    readonly taskId: string;
    readonly team: string;
    readonly kind: WorkKind;
    readonly urgency: Urgency;
    /** Tasks of one class are expected to behave alike; sizes and run times are learned per class. */
    readonly taskClass: string;
    /** The declared size, a prior only. */
    readonly size: Resources;
    /** The declared run time in milliseconds, a prior only. */
    readonly expectedRunMs: number;
    /** The service that a replica belongs to; absent for a batch task. */
    readonly service?: string;
    /** What the worker is told to run; not interpreted. */
    readonly payload: string;
}
