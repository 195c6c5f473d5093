import { JobState } from "@sardinestage/describe-work";
import { recordEncoder } from "./recordEncoder.js";

/** A job that came to its end, when only its progress is still stored. */
interface FinishedJob {
    readonly state: JobState;
    /** Unix milliseconds. */
    readonly finishedAtMs: number;
}

/**
 * Reads the end of a job from a record of `encodeProgress`.
 *
 * @returns The end, or undefined while the job isn't finished; throws on other bytes.
 */
export function decodeFinished(bytes: Uint8Array): FinishedJob | undefined {
    const [state, finishedAtMs] = recordEncoder.decode(bytes) as [JobState, number];
    const isFinished = state === JobState.Completed || state === JobState.Failed || state === JobState.Cancelled;
    return isFinished ? { state, finishedAtMs } : undefined;
}
