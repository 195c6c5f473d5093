import type { LogRecord } from "./logRecord.js";

/** A run of records. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** Where the next read starts. */
    readonly next: number;
    /** The oldest offset that retention has left. */
    readonly oldest: number;
    /** Whether the page reached the end of the stream as it was when the read was answered. */
    readonly atHead: boolean;
}
