import type { KeyedRecord } from "./keyedRecord.js";

/** A record as it stands in the store. */
export interface StoredRecord extends KeyedRecord {
    readonly offset: number;
}
