import type { StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import type { Task } from "@sardinestage/track-jobs";
import { Job, openDueOccurrences } from "@sardinestage/track-jobs";
import { createQueue } from "./createQueue.js";

/** Creates the first task of a long-running step that is due, of which two don't fit into 1,000 thousandths of a core. */
export function createLongRunningTask(changes: Partial<StepSpec> = {}): Task {
    const steps = [createStep({ longRunning: true, cpuMillis: 600, memoryMb: 600, ...changes })];
    const job = new Job("job", { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, createQueue(), 1);
    openDueOccurrences(job, 1);
    return [...job.openOccurrences.values()][0].steps[0].getTask(0);
}
