export { compareDemands } from "./compareDemands.js";
export type { PlaceView } from "./placeView.js";
export { planDisplacement } from "./planDisplacement.js";
export type { PlannedStart } from "./plannedStart.js";
export { planStarts } from "./planStarts.js";
export type { ServerPlace } from "./serverPlace.js";
export type { StartPlan } from "./startPlan.js";
export type { StepDemand } from "./stepDemand.js";
export type { WorkerRoom } from "./workerRoom.js";
