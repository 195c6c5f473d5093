import loglevel from "loglevel";
import type { EventLogger } from "./eventLogger.js";

/** The process that writes the lines; both fields are part of every line. */
interface LogIdentity {
    readonly process: string;
    readonly domain: string;
}

/**
 * Creates a logger that writes JSON lines with time, level, process, failure domain and event name to standard error.
 *
 * @param identity Fields added to every line.
 * @param level Least severe level that is written.
 * @returns The logger.
 */
export function createLogger(identity: LogIdentity, level: "info" | "warn" | "error"): EventLogger {
    const log = loglevel.getLogger(identity.process);
    log.methodFactory = methodName => (event: string, fields?: object) => {
        const time = new Date().toISOString();
        process.stderr.write(`${JSON.stringify({ time, level: methodName, ...identity, event, ...fields })}\n`);
    };
    log.setLevel(level, false);
    return log;
}
