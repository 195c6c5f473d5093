/** A record that has to be written or dropped. */
export interface RecordChange {
    readonly key: string;
    /** Encodes the record at the time of the write; undefined drops it. */
    readonly encode: (() => Uint8Array) | undefined;
}
