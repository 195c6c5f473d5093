export type { CandidateWorker } from "./candidateWorker.js";
export { computePlacementCost } from "./computePlacementCost.js";
export type { Placement } from "./placement.js";
export { PlacementRefusal } from "./placementRefusal.js";
export type { PlacementView } from "./placementView.js";
export { planPlacement } from "./planPlacement.js";
export { resourceMath } from "./resourceMath.js";
export { ShareLedger } from "./shareLedger.js";
