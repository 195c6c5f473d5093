export { encodeFrame } from "./encodeFrame.js";
export type { Frame } from "./frame.js";
export type { FrameHandler } from "./frameHandler.js";
export { FrameKind } from "./frameKind.js";
export { FRAME_VERSION } from "./frameLimits.js";
export { FrameReader } from "./frameReader.js";
export { PeerClient } from "./peerClient.js";
export { PeerServer } from "./peerServer.js";
