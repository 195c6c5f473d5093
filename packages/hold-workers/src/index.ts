export type { AuthorityView } from "./authorityView.js";
export { computeAuthorityMoment } from "./computeAuthorityMoment.js";
export { CondemnStep } from "./condemnStep.js";
export type { CondemnView } from "./condemnView.js";
export { planCondemnStep } from "./planCondemnStep.js";
