import type { TrackedWorker } from "./trackedWorker.js";
import type { WorkerFailure } from "./workerFailure.js";

/** Lists the failed runs that count against a worker: those of tasks that may succeed elsewhere. */
export function listStandingFailures(worker: TrackedWorker): readonly WorkerFailure[] {
    return worker.failures.filter(({ task }) => !task.failsEverywhere);
}
