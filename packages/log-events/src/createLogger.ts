import loglevel from "loglevel";
import type { EventLogger } from "./eventLogger.js";

/** Who writes the lines. */
interface LogIdentity {
    readonly process: string;
    readonly domain: string;
}

/**
 * Makes a logger that writes JSON lines with time, level, process, failure domain and event name.
 *
 * @param identity Named on each line.
 * @param level The least severe level that is written.
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
