export { InterferenceEstimator } from "./interferenceEstimator.js";
export { RecentSamples } from "./recentSamples.js";
export { SizeEstimator } from "./sizeEstimator.js";
export { WorkerHealth } from "./workerHealth.js";
