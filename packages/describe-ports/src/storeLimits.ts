/** The sizes that the store takes. */
export interface StoreLimits {
    /** The largest record, its key included, in bytes. */
    readonly maxRecordBytes: number;
    /** The most that the records of one append may have together, in bytes. */
    readonly maxAppendBytes: number;
}
