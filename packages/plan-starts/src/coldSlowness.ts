/** How many times as long as expected tasks are assumed to take on a cold worker of which nothing else is known. */
export const COLD_SLOWNESS = 2;
