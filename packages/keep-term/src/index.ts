export type { CandidacyRules } from "./candidacyRules.js";
export { CandidacyStep } from "./candidacyStep.js";
export type { Candidate } from "./candidate.js";
export { chooseCandidacyStep } from "./chooseCandidacyStep.js";
export type { CoordinatorView } from "./coordinatorView.js";
export { RenewalOutcome } from "./renewalOutcome.js";
export type { TermHolder } from "./termHolder.js";
export { TermLog } from "./termLog.js";
export type { TermView } from "./termView.js";
