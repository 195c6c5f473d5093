import type { StepRun } from "@sardinestage/track-jobs";

/**
 * Counts the tasks of a step on each worker, where the step limits them.
 *
 * @param step The step.
 * @param coming Workers on which a task of it is to be besides, one entry a task.
 */
export function countTasksPerWorker(step: StepRun, coming: readonly string[] = []): Map<string, number> {
    const counts = new Map<string, number>();
    if (step.spec.maxTasksPerWorker === 0) {
        return counts;
    }
    const there = step.tasks.filter(task => task.isActive).map(task => task.workerId);
    [...there, ...coming].forEach(workerId => counts.set(workerId, (counts.get(workerId) ?? 0) + 1));
    return counts;
}
