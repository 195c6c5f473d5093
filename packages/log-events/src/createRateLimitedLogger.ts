import loglevel from "loglevel";
import type { EventLogger } from "./eventLogger.js";

/** The process that writes the lines; both fields are part of every line. */
interface LogIdentity {
    readonly process: string;
    readonly domain: string;
}

/** Lines of levels below `error` that are written in one second; further lines are counted and dropped. */
const MAX_LINES_PER_SECOND = 400;
/** Lines of each event that are always written in one second, because rare events are the most informative. */
const GUARANTEED_LINES_PER_EVENT = 4;
const SECOND_MS = 1000;

/**
 * Creates a logger that writes JSON lines and limits their rate, so that a flood of events doesn't slow the process
 * down. Lines over the limit are dropped and counted; the first event of a later second logs the count. Rare events and
 * events of the level `error` are always written.
 *
 * @param identity Fields added to every line.
 * @param level Least severe level that is written.
 * @param write Writes one line, which ends with a line feed.
 * @returns The logger.
 */
export function createRateLimitedLogger(
    identity: LogIdentity,
    level: "info" | "warn" | "error",
    write: (line: string) => void,
): EventLogger {
    const log = loglevel.getLogger(`bounded:${identity.process}`);
    let currentSecond = 0;
    let written = 0;
    let dropped = 0;
    const countsByEvent = new Map<string, number>();
    log.methodFactory = methodName => (event: string, fields?: object) => {
        const nowMs = Date.now();
        const second = Math.floor(nowMs / SECOND_MS);
        if (second !== currentSecond) {
            if (dropped > 0) {
                write(formatLine(nowMs, "warn", identity, "log-lines-dropped", { dropped }));
            }
            currentSecond = second;
            written = 0;
            dropped = 0;
            countsByEvent.clear();
        }
        const count = (countsByEvent.get(event) ?? 0) + 1;
        countsByEvent.set(event, count);
        if (written >= MAX_LINES_PER_SECOND && count > GUARANTEED_LINES_PER_EVENT && methodName !== "error") {
            dropped++;
            return;
        }
        written++;
        write(formatLine(nowMs, methodName, identity, event, fields));
    };
    log.setLevel(level, false);
    return log;
}

function formatLine(nowMs: number, level: string, identity: LogIdentity, event: string, fields?: object): string {
    return `${JSON.stringify({ time: new Date(nowMs).toISOString(), level, ...identity, event, ...fields })}\n`;
}
