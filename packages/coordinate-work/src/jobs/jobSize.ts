/** What a job takes of the coordinator. */
export interface JobSize {
    /** Estimated memory, in bytes. */
    readonly bytes: number;
    readonly steps: number;
}
