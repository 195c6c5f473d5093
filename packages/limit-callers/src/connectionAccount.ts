import type { AddressTotals } from "./addressTotals.js";

/** What one connection holds. `CallerBudget` changes it. */
export interface ConnectionAccount {
    readonly totals: AddressTotals;
    isOpen: boolean;
    /** Bytes that closing the connection frees. */
    heldBytes: number;
    openRequests: number;
    /** Position in the order of the connections' last progress. */
    lastProgress: number;
    /** Time of the last progress, on the clock of `CallerBudget`. */
    lastProgressMs: number;
}
