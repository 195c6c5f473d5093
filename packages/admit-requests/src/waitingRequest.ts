import type { Urgency } from "@sardinestage/types";
import type { RefusalReason } from "./refusalReason.js";

/** A request that waits for a target; times are monotonic milliseconds. */
export interface WaitingRequest<Permit> {
    readonly team: string;
    readonly urgency: Urgency;
    readonly deadlineAtMs: number;
    readonly queuedAtMs: number;
    /** Called once, when a target is found. */
    readonly admit: (permit: Permit) => void;
    /** Called once, when it is given up. */
    readonly refuse: (reason: RefusalReason) => void;
}
