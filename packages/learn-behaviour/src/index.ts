export { HeadroomEstimator } from "./headroomEstimator.js";
export type { HeadroomState } from "./headroomState.js";
export { HeadroomTrend } from "./headroomTrend.js";
export { InterferenceEstimator } from "./interferenceEstimator.js";
export { RecentSamples } from "./recentSamples.js";
export type { ServingFigure } from "./servingFigure.js";
export { SizeEstimator } from "./sizeEstimator.js";
export type { WeightedNeighbour } from "./weightedNeighbour.js";
export { WorkerHealth } from "./workerHealth.js";
