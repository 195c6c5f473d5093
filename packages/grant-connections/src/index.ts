export type { ConnectionGrant } from "./connectionGrant.js";
export { GrantLedger } from "./grantLedger.js";
export type { GrantReport } from "./grantReport.js";
export type { ReplicaEndpoint } from "./replicaEndpoint.js";
