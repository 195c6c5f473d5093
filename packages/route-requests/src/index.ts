export { ByteBudget } from "./byteBudget.js";
export { LatencyWindow } from "./latencyWindow.js";
export { RetryBudget } from "./retryBudget.js";
export type { Target } from "./target.js";
export { TargetHealth } from "./targetHealth.js";
export { TargetTable } from "./targetTable.js";
export { TargetUse } from "./targetUse.js";
