import type { Urgency } from "@sardinestage/types";
import type { RefusalReason } from "./refusalReason.js";

/** A request that waits for a target. Times are monotonic milliseconds. */
export interface WaitingRequest<Permit> {
    readonly team: string;
    readonly urgency: Urgency;
    readonly deadlineAtMs: number;
    readonly queuedAtMs: number;
    /** Called once, when the request gets a target. */
    readonly admit: (permit: Permit) => void;
    /** Called once, when the request is refused. */
    readonly refuse: (reason: RefusalReason) => void;
}
