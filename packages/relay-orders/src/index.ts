export { OrderRelay } from "./orderRelay.js";
export { RelayedWorkerPort } from "./relayedWorkerPort.js";
export type { RelayReply } from "./relayReply.js";
export type { RelayRequest } from "./relayRequest.js";
export type { RelayVm } from "./relayVm.js";
