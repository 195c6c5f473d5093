export { createLogger } from "./createLogger.js";
export { createRateLimitedLogger } from "./createRateLimitedLogger.js";
export type { EventLogger } from "./eventLogger.js";
export { LineBuffer } from "./lineBuffer.js";
export { silentLogger } from "./silentLogger.js";
export { watchUnexpectedErrors } from "./watchUnexpectedErrors.js";
