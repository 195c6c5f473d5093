export type { BestEffortTaskView } from "./bestEffortTaskView.js";
export { isPaceDecisionDue } from "./isPaceDecisionDue.js";
export type { PacePlan } from "./pacePlan.js";
export type { PaceRules } from "./paceRules.js";
export type { PaceState } from "./paceState.js";
export { planPace } from "./planPace.js";
export type { ServingTaskView } from "./servingTaskView.js";
