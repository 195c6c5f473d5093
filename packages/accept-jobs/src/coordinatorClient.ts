import type { CoordinatorCall } from "./coordinatorCall.js";
import type { CoordinatorReply } from "./coordinatorReply.js";

/** Sends calls to the current coordinator, on whichever VM it runs. */
export interface CoordinatorClient {
    /** Calls the coordinator; undefined if there is none or it doesn't answer within `timeoutMs` milliseconds. */
    call(call: CoordinatorCall, timeoutMs: number): Promise<CoordinatorReply | undefined>;
}
