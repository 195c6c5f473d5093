import type { Resources } from "./resources.js";
import type { Urgency } from "./urgency.js";
import type { WorkKind } from "./workKind.js";

/** A task as it is submitted. */
export interface TaskSpec {
    /** Chosen by the submitter; a second submission with the same id is the same task. */
    readonly taskId: string;
    readonly team: string;
    readonly kind: WorkKind;
    readonly urgency: Urgency;
    /** Tasks of one class are expected to behave similarly; their sizes and run times are learned per class. */
    readonly taskClass: string;
    /** Declared size; only a prior for the size that is learned per class. */
    readonly size: Resources;
    /** Declared run time, in milliseconds; only a prior for the run time that is learned per class. */
    readonly expectedRunMs: number;
    /** Name of the service to which a replica belongs; absent for a batch task. */
    readonly service?: string;
    /** Passed to the worker without being interpreted; tells the worker what to run. */
    readonly payload: string;
}
