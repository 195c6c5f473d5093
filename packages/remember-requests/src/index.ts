export { IdVerdict } from "./idVerdict.js";
export { readIdTime } from "./readIdTime.js";
export { RequestMemory } from "./requestMemory.js";
