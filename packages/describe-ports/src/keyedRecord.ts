/** A record of a topic: without a value its key is dropped. */
export interface KeyedRecord {
    readonly key: string;
    readonly value: Uint8Array | undefined;
}
