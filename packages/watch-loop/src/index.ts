export { LoopWatch } from "./loopWatch.js";
