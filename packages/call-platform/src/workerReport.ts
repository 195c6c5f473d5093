import type { TaskUsage, WorkerTask } from "@sardinestage/types";

/** What a worker answers to a lease renewal. */
export interface WorkerReport {
    /** Running attempts, and ended ones that were not acknowledged. */
    readonly tasks: readonly WorkerTask[];
    /** Measured use; lags behind. */
    readonly usage: readonly TaskUsage[];
}
