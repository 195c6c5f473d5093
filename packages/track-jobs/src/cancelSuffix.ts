/** Suffix of a cancellation's key, after the job's id. */
export const CANCEL_SUFFIX = "/cancel";
