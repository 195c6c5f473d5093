import type { JobSpec } from "@sardinestage/describe-work";

/**
 * Memory that an accepted job takes of a coordinator, in bytes. Heap sizes with many equal jobs show 2,300 for the job,
 * 185 to 245 for a decoded step, 110 more for its state in an open occurrence, and 700 if its only task has been
 * considered, which few have at a time.
 */
const JOB_BYTES = 2500;
const STEP_BYTES = 280;
const STEP_STATE_BYTES = 320;
const TASK_BYTES = 10;
/** A job with more tasks than this keeps only the active ones of them. */
const MAX_KEPT_TASKS = 128;
/** A job may always have as many occurrences open; further ones are bounded over all jobs. */
const MAX_OPEN_OCCURRENCES = 2;

/**
 * Estimates the memory that an accepted job takes of a coordinator until it ends, in bytes.
 *
 * @param spec The job.
 * @param recordBytes Size of its record, for its texts.
 */
export function estimateJobBytes(spec: JobSpec, recordBytes: number): number {
    const occurrences = Math.min(MAX_OPEN_OCCURRENCES, Math.max(1, spec.repeatCount));
    let tasks = 0;
    for (const { taskCount } of spec.steps) {
        tasks += taskCount;
    }
    const stepBytes = STEP_BYTES + occurrences * STEP_STATE_BYTES;
    return JOB_BYTES + recordBytes + spec.steps.length * stepBytes + Math.min(MAX_KEPT_TASKS, tasks) * TASK_BYTES;
}
