export { computeShare } from "./computeShare.js";
export { computeShareLevel } from "./computeShareLevel.js";
export { computeShareRanks } from "./computeShareRanks.js";
export type { QueueLoad } from "./queueLoad.js";
export type { ShareDemand } from "./shareDemand.js";
export { ShareRank } from "./shareRank.js";
