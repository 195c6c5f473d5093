import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { JobSpec } from "@sardinestage/describe-work";
import type { CoordinatorCallKind } from "./coordinatorCallKind.js";

/** A call to the coordinator. Each kind of call sets only its own fields. */
export interface CoordinatorCall {
    readonly kind: CoordinatorCallKind;
    /** Id of the job, for `GetState`, `Cancel`, `Explain` and `Admit`. */
    readonly id?: string;
    /** Name of the queue, for `GetPending` and `Admit`, and for `Explain` of a job that isn't submitted. */
    readonly queue?: string;
    /** The job that isn't submitted, for `Explain` without an id. */
    readonly spec?: JobSpec;
    /** Memory that the job would take of the coordinator, for `Admit`, in bytes. */
    readonly bytes?: number;
    /** Address of the caller that submits the job, for `Admit`. */
    readonly address?: string;
    /** Records to append, for `Append`; none to find out whether the coordinator answers. */
    readonly records?: readonly KeyedRecord[];
    /** Whether a VM has passed the call on already, so that it isn't passed on again. */
    readonly isForwarded?: boolean;
}
