export { EvictionBudget } from "./evictionBudget.js";
export { planInterferenceStep } from "./planInterferenceStep.js";
export { planPreemption } from "./planPreemption.js";
export type { Reaction } from "./reaction.js";
export type { RunningBatchTask } from "./runningBatchTask.js";
