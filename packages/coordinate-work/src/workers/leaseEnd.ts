import type { LeaseSource } from "./leaseSource.js";

/** When a worker's lease has certainly expired. */
export interface LeaseEnd {
    /** In steady milliseconds. */
    readonly atMs: number;
    readonly source: LeaseSource;
}
