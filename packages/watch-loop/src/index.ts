export { LoopWatch } from "./loopWatch.js";
export { scheduleTimeout } from "./scheduleTimeout.js";
export { WorkKind } from "./workKind.js";
export { WorkMeter } from "./workMeter.js";
