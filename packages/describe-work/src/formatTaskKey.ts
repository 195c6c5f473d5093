import type { TaskRef } from "./taskRef.js";

/** Formats a task's reference as a string, for map keys and log lines: `jobId/occurrence/step/index`. */
export function formatTaskKey(ref: TaskRef): string {
    return `${ref.jobId}/${ref.occurrence}/${ref.step}/${ref.index}`;
}
