/** Follows a job's id in the key of its cancellation. */
export const CANCEL_SUFFIX = "/cancel";
