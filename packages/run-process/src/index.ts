export { ExitCode } from "./exitCode.js";
export type { RunningProcess } from "./runningProcess.js";
export { runProcess } from "./runProcess.js";
export { serveStatus } from "./serveStatus.js";
