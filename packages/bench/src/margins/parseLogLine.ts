import type { Result } from "ts-results";
import tsResults from "ts-results";
import { LineFault } from "./lineFault.js";
import type { LogLine } from "./logLine.js";

const { Err, Ok } = tsResults;
/** With what every event of a process begins. */
const EVENT_START = "{\"time\":";
/** The second and the process's name before an event. */
const PREFIX = /(-?\d+(?:\.\d+)?)\s+\S+\s+$/;
/** The last second that is accepted: no day lasts so long. */
const MAX_SECOND = 10_000;

/**
 * Parses a line of a played day's log. The piece of a line that was written in two parts may stand before another line; the whole
 * line then follows without its second.
 *
 * @param text The line without its line feed.
 * @param lastSecond The second of the line before, for a line without one; undefined if there is none.
 * @returns The event with the second of the day; why it isn't one.
 */
export function parseLogLine(text: string, lastSecond: number | undefined): Result<LogLine, LineFault> {
    const start = text.lastIndexOf(EVENT_START);
    if (start < 0) {
        return Err(LineFault.Foreign);
    }
    const match = PREFIX.exec(text.slice(0, start));
    const second = match ? Number(match[1]) : lastSecond;
    if (second === undefined || Math.abs(second) > MAX_SECOND) {
        return Err(LineFault.Unreadable);
    }
    try {
        const fields: unknown = JSON.parse(text.slice(start));
        return isEvent(fields) ? Ok({ second, event: fields.event, fields }) : Err(LineFault.Unreadable);
    }
    catch {
        // Whatever isn't JSON is counted as unreadable.
        return Err(LineFault.Unreadable);
    }
}

function isEvent(fields: unknown): fields is Readonly<Record<string, unknown>> & { readonly event: string } {
    return typeof (fields as { readonly event?: unknown }).event === "string";
}
