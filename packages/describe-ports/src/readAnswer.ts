import type { ReadOutcome } from "./readOutcome.js";
import type { StoredRecord } from "./storedRecord.js";

/** The store's answer to a read of a topic's tail. */
export interface ReadAnswer {
    readonly outcome: ReadOutcome;
    readonly records: readonly StoredRecord[];
    /** Where the next read begins. */
    readonly next: number;
}
