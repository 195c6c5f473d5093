export { EventLoopMonitor } from "./eventLoopMonitor.js";
export { MeteredWork } from "./meteredWork.js";
export { scheduleTimeout } from "./scheduleTimeout.js";
export { WorkMeter } from "./workMeter.js";
