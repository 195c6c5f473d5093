/** Bounds of a small deployment, as the users' site files give them, in milliseconds. */
export const HOLD_MAX_MS = 6000;
export const STOP_TIMEOUT_MS = 900;
export const HEARTBEAT_MS = 1100;
export const MISSED_HEARTBEATS = 3;
export const CHECKPOINT_MS = 500;
/** Limits of the platform's store, in bytes. */
export const RECORD_BYTES = 262_144;
export const CALL_BYTES = 2_097_152;
