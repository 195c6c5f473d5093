export type { FillerView } from "./fillerView.js";
export { isHarmNews } from "./isHarmNews.js";
export type { PacePlan } from "./pacePlan.js";
export type { PaceRules } from "./paceRules.js";
export type { PaceState } from "./paceState.js";
export { planPace } from "./planPace.js";
export type { ServerView } from "./serverView.js";
