export { RefusalReason } from "./refusalReason.js";
export { ServiceQueue } from "./serviceQueue.js";
export type { WaitingRequest } from "./waitingRequest.js";
