/** One record of the platform's log. */
export interface LogRecord {
    readonly offset: number;
    /** Chosen by the writer before its first try; the same id is the same record. */
    readonly id: string;
    readonly appendedAtMs: number;
    readonly data: unknown;
}
