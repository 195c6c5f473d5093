import type { RelayedCall } from "./relayedCall.js";
import { RelayedCallKind } from "./relayedCallKind.js";

/** Returns the fencing token of a call. */
export function resolveFence(call: RelayedCall): number {
    switch (call.kind) {
        case RelayedCallKind.RenewLease:
        case RelayedCallKind.Start:
            return call.order.fence;
        case RelayedCallKind.Stop:
        case RelayedCallKind.Pace:
            return call.fence;
    }
}
