import type { LogbookEvent } from "./logbookEvent.js";

/** One event in the history of a task. */
export interface LogbookEntry {
    readonly offset: number;
    readonly taskId: string;
    readonly worker: string;
    readonly attempt: number;
    readonly event: LogbookEvent;
    readonly reason: string;
    readonly atMs: number;
}
