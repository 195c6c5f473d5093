import loglevel from "loglevel";
import type { EventLogger } from "./eventLogger.js";

/** Who writes the lines. */
interface LogIdentity {
    readonly process: string;
    readonly domain: string;
}

/** Lines of the levels below `error` in one second; more are counted and dropped. */
const LINES_A_SECOND = 400;
/** Lines of one event in one second that are written however many others there were: what is rare tells the most. */
const RARE_LINES_A_SECOND = 4;
const SECOND_MS = 1000;

/**
 * Makes a logger that writes JSON lines to standard output and never lets a flood of events slow the process down:
 * beyond a number of lines a second it only counts, and says how many it left out. Events that are rare are written all
 * the same.
 *
 * @param identity Named on each line.
 * @param level The least severe level that is written.
 * @param write Takes a line.
 */
export function createBoundedLogger(
    identity: LogIdentity,
    level: "info" | "warn" | "error",
    write: (line: string) => void,
): EventLogger {
    const log = loglevel.getLogger(`bounded:${identity.process}`);
    let second = 0;
    let written = 0;
    let dropped = 0;
    const countsByEvent = new Map<string, number>();
    log.methodFactory = methodName => (event: string, fields?: object) => {
        const nowMs = Date.now();
        const current = Math.floor(nowMs / SECOND_MS);
        if (current !== second) {
            if (dropped > 0) {
                write(formatLine(nowMs, "warn", identity, "log-lines-dropped", { dropped }));
            }
            second = current;
            written = 0;
            dropped = 0;
            countsByEvent.clear();
        }
        const count = (countsByEvent.get(event) ?? 0) + 1;
        countsByEvent.set(event, count);
        if (written >= LINES_A_SECOND && count > RARE_LINES_A_SECOND && methodName !== "error") {
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
