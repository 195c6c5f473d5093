/** One record of the platform's log. */
export interface LogRecord {
    readonly offset: number;
    /** Chosen by the writer before its first try to append; two records with the same id are duplicates. */
    readonly id: string;
    readonly appendedAtMs: number;
    readonly data: unknown;
}
