export { CallerBudget } from "./callerBudget.js";
export type { CallerLimits } from "./callerLimits.js";
export { computeCallerLimits } from "./computeCallerLimits.js";
export { computeOpenJobLimit } from "./computeOpenJobLimit.js";
export type { ConnectionAccount } from "./connectionAccount.js";
export { GrowingBuffer } from "./growingBuffer.js";
export { RefusalReason } from "./refusalReason.js";
