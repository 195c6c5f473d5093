export { EventLoopMonitor } from "./eventLoopMonitor.js";
export { MeteredWorkKind } from "./meteredWorkKind.js";
export { scheduleTimeout } from "./scheduleTimeout.js";
export { WorkMeter } from "./workMeter.js";
