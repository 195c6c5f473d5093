export { LoopWatch } from "./loopWatch.js";
export { scheduleTimeout } from "./scheduleTimeout.js";
