import type { StoredRecord } from "./storedRecord.js";

/** A page of a topic's newest record of each key. Records may change between two pages. */
export interface NewestRecordsPage {
    readonly succeeded: boolean;
    readonly records: readonly StoredRecord[];
    readonly hasMore: boolean;
    /** Offset after the topic's last record when the page was read. */
    readonly end: number;
}
