import { JobState } from "@sardinestage/describe-work";
import { recordEncoder } from "./recordEncoder.js";

/** The end of a finished job, of which only the progress may still be stored. */
interface FinishedJob {
    readonly state: JobState;
    /** When the job finished, in Unix milliseconds. */
    readonly finishedAtMs: number;
}

/**
 * Decodes the end of a job from a record written by `encodeProgress`.
 *
 * @returns The end; undefined if the job isn't finished.
 * @throws If the bytes aren't such a record.
 */
export function decodeFinishedJob(bytes: Uint8Array): FinishedJob | undefined {
    const [state, finishedAtMs] = recordEncoder.decode(bytes) as [JobState, number];
    const isFinished = state === JobState.Completed || state === JobState.Failed || state === JobState.Cancelled;
    return isFinished ? { state, finishedAtMs } : undefined;
}
