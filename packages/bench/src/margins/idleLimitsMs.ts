/** Times without a run that are told apart, in milliseconds; processes report none below the first. */
export const IDLE_LIMITS_MS: readonly number[] = [3000, 5000, 7000];
