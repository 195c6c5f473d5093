/**
 * Jobs that take at most this much of a coordinator's memory, in bytes, are small: VMs accept them without a question, and
 * larger ones leave a part of the memory to them.
 */
export const SMALL_JOB_BYTES = 65_536;
