export { createEntryVm } from "./createEntryVm.js";
export { defaultRules } from "./defaultRules.js";
export type { EntryVm } from "./entryVm.js";
export type { EntryVmParts } from "./entryVmParts.js";
export type { EntryVmRules } from "./entryVmRules.js";
