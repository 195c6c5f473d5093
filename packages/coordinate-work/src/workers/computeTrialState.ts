import { TrialState } from "@sardinestage/plan-starts";
import type { TrackedWorker } from "./trackedWorker.js";

/** Computes which tasks may start on a worker as far as its trial is concerned; undefined if it isn't on trial. */
export function computeTrialState(worker: TrackedWorker): TrialState | undefined {
    if (!worker.isOnTrial) {
        return undefined;
    }
    const hasRun = [...worker.tasks].some(task => task.orderedAtMs >= worker.probationUntilMs);
    return hasRun ? TrialState.TellingOnly : TrialState.Open;
}
