import type { ReadOutcome } from "./readOutcome.js";
import type { StoredRecord } from "./storedRecord.js";

/** The store's answer to a read of a topic from an offset on. */
export interface ReadAnswer {
    readonly outcome: ReadOutcome;
    readonly records: readonly StoredRecord[];
    /** Offset at which the next read starts. */
    readonly next: number;
}
