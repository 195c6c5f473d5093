/** A record that is to be appended. */
export interface NewLogRecord {
    readonly id: string;
    readonly data: unknown;
}
