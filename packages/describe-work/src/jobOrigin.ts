/** Where a job comes from. Jobs read from the store have no address. */
export interface JobOrigin {
    /** Name of the queue. */
    readonly queue?: string;
    /** Address of the caller that submits the job. */
    readonly address?: string;
}
