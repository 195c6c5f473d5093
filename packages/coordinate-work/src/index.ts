export { Coordinator } from "./coordinator.js";
export type { CoordinatorParts } from "./coordinatorParts.js";
export type { CoordinatorRules } from "./coordinatorRules.js";
export type { PlatformParts } from "./platformParts.js";
