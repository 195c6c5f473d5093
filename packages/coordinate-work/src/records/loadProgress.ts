import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { JobRegistry } from "../jobs/jobRegistry.js";
import { LearnedEstimates } from "./learnedEstimates.js";
import { restoreEstimates } from "./restoreEstimates.js";
import type { StoredProgress } from "./storedProgress.js";

/**
 * Loads a record of the progress topic at a takeover: the learned estimates, or progress of a job.
 *
 * @param pending Receives the progress by job id.
 */
export function loadProgress(
    parts: Pick<CoordinatorParts, "metrics" | "logger">,
    learned: LearnedEstimates,
    jobs: JobRegistry,
    pending: Map<string, StoredProgress>,
    record: KeyedRecord,
): void {
    if (record.key === LearnedEstimates.KEY) {
        restoreEstimates(parts, learned, record.value);
    }
    else {
        jobs.loadProgress(record, pending);
    }
}
