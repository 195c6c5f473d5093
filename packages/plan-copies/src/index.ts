export type { CopyCandidate } from "./copyCandidate.js";
export type { CopyPlan } from "./copyPlan.js";
export { planCopies } from "./planCopies.js";
export type { QueueUse } from "./queueUse.js";
