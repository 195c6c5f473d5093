import type { StageError } from "@sardinestage/errors";
import type { Result } from "ts-results";
import type { LogPage } from "./logPage.js";
import type { NewLogRecord } from "./newLogRecord.js";

/** The platform's append-only log. */
export interface LogPort {
    /** Appends records in one call, in order. A failed call may still have appended them. */
    append(stream: string, records: readonly NewLogRecord[]): Promise<Result<void, StageError>>;
    /** Reads records from an offset on; waits up to `waitMs` milliseconds while there are none. */
    read(stream: string, from: number, waitMs: number): Promise<Result<LogPage, StageError>>;
}
