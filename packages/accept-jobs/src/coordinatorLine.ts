import type { CoordinatorCall } from "./coordinatorCall.js";
import type { CoordinatorReply } from "./coordinatorReply.js";

/** Reaches the coordinator, wherever it is. */
export interface CoordinatorLine {
    /** Undefined when there is none, or it doesn't answer in time. */
    call(call: CoordinatorCall, timeoutMs: number): Promise<CoordinatorReply | undefined>;
}
