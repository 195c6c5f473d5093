export { Metrics } from "./metrics.js";
