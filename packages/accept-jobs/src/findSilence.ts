import type { CoordinatorReply } from "./coordinatorReply.js";
import { CoordinatorSilence } from "./coordinatorSilence.js";

/** Finds out why a reply doesn't answer the call; undefined if it does. */
export function findSilence(reply: CoordinatorReply | undefined): CoordinatorSilence | undefined {
    if (reply === undefined) {
        return CoordinatorSilence.Unanswered;
    }
    if (reply.isUnsent === true) {
        return reply.isCircuitOpen === true ? CoordinatorSilence.CircuitOpen : CoordinatorSilence.Unsent;
    }
    return reply.isUnsure === true ? CoordinatorSilence.Unsure : undefined;
}
