import type { TaskRef } from "./taskRef.js";

/** Writes a task's name for maps and logs. */
export function formatTaskKey(ref: TaskRef): string {
    return `${ref.jobId}/${ref.occurrence}/${ref.step}/${ref.index}`;
}
