import type { StoredRecord } from "./storedRecord.js";

/** A page of the newest record of each key; pages are no snapshot. */
export interface NewestAnswer {
    readonly succeeded: boolean;
    readonly records: readonly StoredRecord[];
    readonly hasMore: boolean;
    /** Where the topic ended when the page was made. */
    readonly end: number;
}
