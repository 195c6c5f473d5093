/** A record to append to the log. */
export interface NewLogRecord {
    /** Chosen by the writer before its first try to append, and the same in every retry. */
    readonly id: string;
    readonly data: unknown;
}
