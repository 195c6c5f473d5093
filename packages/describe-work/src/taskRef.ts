/** Identifies one task of a job. */
export interface TaskRef {
    readonly jobId: string;
    /** Number of the job's occurrence, from 0. */
    readonly occurrence: number;
    /** Number of the step, from 0. */
    readonly step: number;
    /** Number of the task in its step, from 0. */
    readonly index: number;
}
