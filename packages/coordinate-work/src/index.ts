export { Coordinator } from "./coordinator.js";
export type { CoordinatorParts } from "./coordinatorParts.js";
export type { CoordinatorRules } from "./coordinatorRules.js";
export { noEvacuations } from "./noEvacuations.js";
export { noSchedulingFeatures } from "./noSchedulingFeatures.js";
export type { PlatformParts } from "./platformParts.js";
export type { SchedulingFeatures } from "./schedulingFeatures.js";
