import type { WorkerRoom } from "@sardinestage/plan-starts";
import { takeRoom } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import type { TrackedWorker } from "./trackedWorker.js";

/**
 * Describes what a worker has left.
 *
 * @param link The worker.
 * @param startsLeft How many starts it may get now.
 * @param getHeadroom What a serving task is expected to have without filling tasks; undefined while unknown.
 */
export function buildRoom(
    link: TrackedWorker,
    startsLeft: number,
    getHeadroom: (task: Task) => number | undefined,
): WorkerRoom {
    const { entry } = link;
    const room: WorkerRoom = {
        workerId: entry.id,
        service: entry.service,
        rack: entry.rack,
        labels: entry.labels,
        capacityCpuMillis: entry.capacity.cpuMillis,
        freeCpuMillis: entry.capacity.cpuMillis,
        endingCpuMillis: 0,
        freeMemoryMb: entry.capacity.memoryMb,
        freeAccelerators: entry.capacity.accelerators,
        fillCpuMillis: 0,
        servers: [],
        fillers: [],
        startsLeft,
    };
    for (const task of link.tasks) {
        takeRoom(room, task.step, getHeadroom(task));
    }
    room.startsLeft = startsLeft;
    return room;
}
