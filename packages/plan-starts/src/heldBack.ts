/** Stands for the index of a worker if a task waits although workers have room. */
export const HELD_BACK = -1;
