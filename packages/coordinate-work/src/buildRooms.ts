import type { WorkerRoom } from "@sardinestage/plan-starts";
import { takeRoom } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import type { WorkerLink } from "./workerLink.js";

/**
 * Describes what the workers that take work have left.
 *
 * @param links The workers.
 * @param getStartsLeft How many starts a worker may get now.
 * @param getHeadroom What a serving task is expected to have without filling tasks; undefined while unknown.
 */
export function buildRooms(
    links: Iterable<WorkerLink>,
    getStartsLeft: (link: WorkerLink) => number,
    getHeadroom: (task: Task) => number | undefined,
): WorkerRoom[] {
    const rooms: WorkerRoom[] = [];
    for (const link of links) {
        const startsLeft = getStartsLeft(link);
        if (startsLeft > 0) {
            rooms.push(buildRoom(link, startsLeft, getHeadroom));
        }
    }
    return rooms;
}

function buildRoom(
    link: WorkerLink,
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
