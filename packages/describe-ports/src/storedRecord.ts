import type { KeyedRecord } from "./keyedRecord.js";

/** A record in the store, with its offset in the topic. */
export interface StoredRecord extends KeyedRecord {
    readonly offset: number;
}
