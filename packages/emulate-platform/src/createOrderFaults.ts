import { LateCallReach } from "./lateCallReach.js";
import type { OrderFaults } from "./orderFaults.js";

/** Creates settings under which no call to a worker is disturbed. */
export function createOrderFaults(): OrderFaults {
    const noDelays = { maxDeliveryMs: 0, maxAnswerMs: 0 };
    return {
        delayedShare: 0,
        delayedRenewalShare: 0,
        minDelayMs: 0,
        maxDelayMs: 0,
        lateCallReach: LateCallReach.AnyLife,
        lostAnswerShare: 0,
        unhealthyShare: 0,
        startDelays: noDelays,
        stopDelays: noDelays,
        renewalDelays: noDelays,
    };
}
