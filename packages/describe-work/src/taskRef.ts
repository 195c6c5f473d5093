/** Names one task of a job. */
export interface TaskRef {
    readonly jobId: string;
    /** Which repetition of the job, from 0. */
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}
