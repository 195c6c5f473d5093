import type { Task } from "@sardinestage/track-jobs";
import { buildRooms } from "./buildRooms.js";
import type { JobBook } from "./jobBook.js";
import type { WorkerLink } from "./workerLink.js";

/**
 * Summarizes the load of the fleet for the log. The summary shows whether a slow job waits because the fleet is full.
 *
 * @param jobs All jobs.
 * @param links All tracked workers.
 * @param wallNowMs Time of day in Unix milliseconds.
 * @returns Fields of a log line.
 */
export function describeFleet(
    jobs: JobBook,
    links: readonly WorkerLink[],
    wallNowMs: number,
): Record<string, number> {
    const tasks = links.flatMap(link => [...link.tasks]);
    const fillers = tasks.filter(task => task.step.spec.fillsLeftover);
    const serving = tasks.filter(task => task.step.spec.longRunning);
    const { steps } = jobs.listReady(wallNowMs);
    return {
        workers: links.length,
        silent: links.filter(link => link.missedHolds > 0).length,
        onTrial: links.filter(link => link.isOnTrial).length,
        jobs: jobs.live.size,
        waiting: steps.reduce((sum, { waiting }) => sum + waiting.length, 0),
        tasks: tasks.length,
        fillers: fillers.length,
        fillCpuMillis: computeCpu(fillers),
        fillCpuUsed: fillers.reduce((sum, task) => sum + task.figure, 0),
        halted: fillers.filter(task => task.pace === 0).length,
        servingCpuMillis: computeCpu(serving),
        freeCpuMillis: buildRooms(links, () => 1, () => undefined).reduce((sum, room) => sum + room.freeCpuMillis, 0),
    };
}

function computeCpu(tasks: readonly Task[]): number {
    return tasks.reduce((sum, task) => sum + task.step.spec.cpuMillis, 0);
}
