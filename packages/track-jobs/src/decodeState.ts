import type { JobState } from "@sardinestage/describe-work";
import { recordEncoder } from "./recordEncoder.js";

/** Reads a job's state, ended or not, from a record of `encodeProgress`; throws on other bytes. */
export function decodeState(bytes: Uint8Array): JobState {
    const [state] = recordEncoder.decode(bytes) as [JobState];
    return state;
}
