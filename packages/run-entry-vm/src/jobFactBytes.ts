/** Sizes of an encoded fact, in bytes: the job's id of 16 hexadecimal digits, then the code of its state. */
export const jobFactBytes = { id: 8, total: 9 };
