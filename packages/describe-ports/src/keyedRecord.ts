/** A record of a topic. A record without a value deletes its key. */
export interface KeyedRecord {
    readonly key: string;
    readonly value: Uint8Array | undefined;
}
