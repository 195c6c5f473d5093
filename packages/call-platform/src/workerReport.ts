import type { TaskUsage, WorkerTask } from "@sardinestage/types";

/** A worker's answer to a lease renewal. */
export interface WorkerReport {
    /** Running attempts, and ended attempts that have not been acknowledged. */
    readonly tasks: readonly WorkerTask[];
    /** Measured resource use, which lags behind the actual use. */
    readonly usage: readonly TaskUsage[];
}
