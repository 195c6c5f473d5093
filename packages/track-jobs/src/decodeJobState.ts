import type { JobState } from "@sardinestage/describe-work";
import { recordEncoder } from "./recordEncoder.js";

/**
 * Decodes the state of a job, finished or not, from a record written by `encodeProgress`.
 *
 * @throws If the bytes aren't such a record.
 */
export function decodeJobState(bytes: Uint8Array): JobState {
    const [state] = recordEncoder.decode(bytes) as [JobState];
    return state;
}
