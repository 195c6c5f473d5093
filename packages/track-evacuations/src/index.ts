export type { Evacuation } from "./evacuation.js";
export { EvacuationChange } from "./evacuationChange.js";
export type { EvacuationRecord } from "./evacuationRecord.js";
export type { EvacuationState } from "./evacuationState.js";
export { EvacuationTable } from "./evacuationTable.js";
export type { EvacuationView } from "./evacuationView.js";
