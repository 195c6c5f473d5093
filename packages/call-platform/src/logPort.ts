import type { StageError } from "@sardinestage/errors";
import type { Result } from "ts-results";
import type { LogPage } from "./logPage.js";
import type { NewLogRecord } from "./newLogRecord.js";

/** The platform's append-only log. */
export interface LogPort {
    /** Appends records together, in order. A failed call may have had its effect. */
    append(stream: string, records: readonly NewLogRecord[]): Promise<Result<void, StageError>>;
    /** Reads from an offset; waits up to `waitMs` when there is nothing yet. */
    read(stream: string, from: number, waitMs: number): Promise<Result<LogPage, StageError>>;
}
