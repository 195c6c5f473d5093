export type { PeerAddress } from "./peerAddress.js";
export { PeerPool } from "./peerPool.js";
export { runPeriodically } from "./runPeriodically.js";
export { VmDirectory } from "./vmDirectory.js";
