/** What a job takes of the coordinator. */
export interface JobSize {
    /** Estimated memory, in bytes. */
    readonly bytes: number;
    readonly steps: number;
    /** Name of the job's queue. */
    readonly queue?: string;
}
