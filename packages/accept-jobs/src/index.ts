export type { CoordinatorCall } from "./coordinatorCall.js";
export { CoordinatorCallKind } from "./coordinatorCallKind.js";
export type { CoordinatorLine } from "./coordinatorLine.js";
export type { CoordinatorReply } from "./coordinatorReply.js";
export { JobDesk } from "./jobDesk.js";
export { RecordDesk } from "./recordDesk.js";
export type { StateAnswer } from "./stateAnswer.js";
export { SubmitOutcome } from "./submitOutcome.js";
