import type { EventEmitter } from "node:events";
import type { EventLogger } from "./eventLogger.js";

/**
 * Logs errors that nothing else handles and keeps the process running. One malformed message must not end a process
 * whose other work is sound; what a coordinator orders is protected by fencing tokens and leases in any case.
 *
 * @param source The process, or another emitter of its two events for unhandled errors.
 * @param logger Logs each error.
 */
export function watchUnexpectedErrors(source: EventEmitter, logger: EventLogger): void {
    for (const event of ["uncaughtException", "unhandledRejection"]) {
        source.on(event, (failure: unknown) => {
            const problem = failure instanceof Error ? failure.stack ?? failure.message : String(failure);
            logger.error("unexpected-error", { event, problem });
        });
    }
}
