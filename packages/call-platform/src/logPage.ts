import type { LogRecord } from "./logRecord.js";

/** Consecutive records of one stream of the log. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** Offset from which the next read continues. */
    readonly next: number;
    /** Offset of the oldest record that the stream still retains. */
    readonly oldest: number;
    /** Whether the page reaches the end that the stream had when the read was answered. */
    readonly atHead: boolean;
}
