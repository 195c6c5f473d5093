import type { LogbookEvent } from "./logbookEvent.js";

/** One line of the logbook. */
export interface LogbookEntry {
    readonly offset: number;
    readonly taskId: string;
    readonly worker: string;
    readonly attempt: number;
    readonly event: LogbookEvent;
    readonly reason: string;
    readonly atMs: number;
}
