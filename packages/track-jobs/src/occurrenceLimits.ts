/** Limits of the occurrences that a job may have open. */
export interface OccurrenceLimits {
    /** The most occurrences of the job that may be open at a time. */
    readonly maxOpen: number;
}
