import type { JobFacts } from "./jobFacts.js";

/** What a process tells its followers of itself as the coordinator. */
export interface CoordinatorReport {
    /** Whether the answering process is the coordinator. */
    readonly isCoordinator: boolean;
    /** Whether the answering process has asked the others to take over. */
    readonly isLeaving: boolean;
    /** How overdue the store's next answer to the answering process is, in milliseconds. */
    readonly storeSilentMs: number;
    /** How long the answering process's calls to the store have failed, in milliseconds. */
    readonly storeLostMs: number;
    /** Memory that further jobs may take of the answering process as the coordinator, in bytes. */
    readonly freeJobBytes?: number;
    /** What has changed of the jobs, if the answering process is the coordinator and the request says what is known. */
    readonly jobFacts?: JobFacts;
}
