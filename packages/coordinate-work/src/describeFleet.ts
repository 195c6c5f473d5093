import type { Task } from "@sardinestage/track-jobs";
import type { JobRegistry } from "./jobs/jobRegistry.js";
import { buildWorkerCapacities } from "./planning/buildWorkerCapacities.js";
import type { TrackedWorker } from "./workers/trackedWorker.js";

/**
 * Summarizes the load of the fleet for the log. The summary shows whether a slow job waits because the fleet is full.
 *
 * @param jobs All jobs.
 * @param workers All tracked workers.
 * @param wallNowMs Time of day in Unix milliseconds.
 * @returns Fields of a log line.
 */
export function describeFleet(
    jobs: JobRegistry,
    workers: readonly TrackedWorker[],
    wallNowMs: number,
): Record<string, number> {
    const tasks = workers.flatMap(worker => [...worker.tasks]);
    const bestEffortTasks = tasks.filter(task => task.step.spec.isBestEffort);
    const longRunningTasks = tasks.filter(task => task.step.spec.longRunning);
    const { steps } = jobs.listReady(wallNowMs);
    return {
        workers: workers.length,
        silent: workers.filter(worker => worker.missedRenewals > 0).length,
        onTrial: workers.filter(worker => worker.isOnTrial).length,
        jobs: jobs.live.size,
        waiting: steps.reduce((sum, { step }) => sum + step.waitingCount, 0),
        tasks: tasks.length,
        fillers: bestEffortTasks.length,
        fillCpuMillis: computeCpu(bestEffortTasks),
        fillCpuUsed: bestEffortTasks.reduce((sum, task) => sum + task.measurement, 0),
        halted: bestEffortTasks.filter(task => task.pace === 0).length,
        servingCpuMillis: computeCpu(longRunningTasks),
        freeCpuMillis: buildWorkerCapacities(workers, () => 1, () => undefined).reduce(
            (sum, capacity) => sum + capacity.freeCpuMillis,
            0,
        ),
    };
}

function computeCpu(tasks: readonly Task[]): number {
    return tasks.reduce((sum, task) => sum + task.step.spec.cpuMillis, 0);
}
