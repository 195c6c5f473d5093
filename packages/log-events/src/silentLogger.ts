import type { EventLogger } from "./eventLogger.js";

/** Writes nothing: for tests, and for parts whose lines nobody reads. */
export const silentLogger: EventLogger = { info: () => undefined, warn: () => undefined, error: () => undefined };
