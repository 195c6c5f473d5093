export { createBoundedLogger } from "./createBoundedLogger.js";
export { createLogger } from "./createLogger.js";
export type { EventLogger } from "./eventLogger.js";
export { silentLogger } from "./silentLogger.js";
