import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { CoordinatorCallKind } from "./coordinatorCallKind.js";

/** A call to the coordinator; only the fields of its kind are set. */
export interface CoordinatorCall {
    readonly kind: CoordinatorCallKind;
    readonly id?: string;
    readonly queue?: string;
    readonly records?: readonly KeyedRecord[];
}
