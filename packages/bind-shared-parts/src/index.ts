export { bindSharedParts } from "./bindSharedParts.js";
export { sharedIds } from "./sharedIds.js";
