import type { StepRun } from "@sardinestage/track-jobs";

/**
 * Counts the tasks of a step on each worker. The result is empty for a step without a limit of tasks per worker.
 *
 * @param step The step.
 * @param plannedWorkerIds Workers on which further tasks of the step are planned, one entry per task.
 */
export function countTasksPerWorker(step: StepRun, plannedWorkerIds: readonly string[] = []): Map<string, number> {
    const counts = new Map<string, number>();
    if (step.spec.maxTasksPerWorker === 0) {
        return counts;
    }
    const activeWorkerIds = [...step.listKnown(), ...step.listExtraRuns()]
        .filter(task => task.isActive).map(task => task.workerId);
    [...activeWorkerIds, ...plannedWorkerIds].forEach(workerId =>
        counts.set(workerId, (counts.get(workerId) ?? 0) + 1)
    );
    return counts;
}
