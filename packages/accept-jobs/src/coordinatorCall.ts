import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { CoordinatorCallKind } from "./coordinatorCallKind.js";

/** A call to the coordinator. Each kind of call sets only its own fields. */
export interface CoordinatorCall {
    readonly kind: CoordinatorCallKind;
    /** Id of the job, for `GetState` and `Cancel`. */
    readonly id?: string;
    /** Name of the queue, for `GetPending`. */
    readonly queue?: string;
    /** Records to append, for `Append`; none to find out whether the coordinator answers. */
    readonly records?: readonly KeyedRecord[];
    /** Whether a VM has passed the call on already, so that it isn't passed on again. */
    readonly isForwarded?: boolean;
}
