export { IdCheckResult } from "./idCheckResult.js";
export { readIdTime } from "./readIdTime.js";
export { RequestIdTable } from "./requestIdTable.js";
