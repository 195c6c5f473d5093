import type { EventLogger } from "./eventLogger.js";

/** Discards all events, for tests and for components whose events nobody reads. */
export const silentLogger: EventLogger = { info: () => undefined, warn: () => undefined, error: () => undefined };
