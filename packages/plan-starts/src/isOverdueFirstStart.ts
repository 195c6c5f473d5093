import { isInterrupted } from "./isInterrupted.js";
import type { StepDemand } from "./stepDemand.js";

/** How long a long-running task waits behind run-to-completion tasks, in milliseconds. */
const MAX_YIELD_MS = 2000;

/** Whether a long-running step whose waiting tasks have never run has yielded to run-to-completion tasks for long enough. */
export function isOverdueFirstStart(demand: StepDemand): boolean {
    return demand.step.spec.longRunning && demand.waitedMs >= MAX_YIELD_MS && !isInterrupted(demand);
}
