import type { EndedRun } from "@sardinestage/describe-ports";

/** Run ends that one life of a worker has listed. */
export interface EndsOfLife {
    /** The worker's id. */
    readonly worker: string;
    /** When the worker instance started, in milliseconds. */
    readonly bornMs: number;
    readonly ended: readonly EndedRun[];
}
