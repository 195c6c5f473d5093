import type { WorkerRoom } from "@sardinestage/plan-starts";
import type { WorkerLink } from "./workerLink.js";

/** Describes what the workers that take work have left. */
export function buildRooms(links: Iterable<WorkerLink>, getStartsLeft: (link: WorkerLink) => number): WorkerRoom[] {
    const rooms: WorkerRoom[] = [];
    for (const link of links) {
        const startsLeft = getStartsLeft(link);
        if (startsLeft > 0) {
            rooms.push(buildRoom(link, startsLeft));
        }
    }
    return rooms;
}

function buildRoom(link: WorkerLink, startsLeft: number): WorkerRoom {
    const { entry } = link;
    const room: WorkerRoom = {
        workerId: entry.id,
        service: entry.service,
        rack: entry.rack,
        labels: entry.labels,
        capacityCpuMillis: entry.capacity.cpuMillis,
        freeCpuMillis: entry.capacity.cpuMillis,
        freeMemoryMb: entry.capacity.memoryMb,
        freeAccelerators: entry.capacity.accelerators,
        fillCpuMillis: 0,
        servers: [],
        fillers: [],
        startsLeft,
    };
    for (const task of link.tasks) {
        const { spec } = task.step;
        if (spec.fillsLeftover) {
            room.fillCpuMillis += spec.cpuMillis;
            room.fillers.push(spec);
        }
        else {
            room.freeCpuMillis -= spec.cpuMillis;
        }
        if (spec.tailTargetMs > 0) {
            room.servers.push({ spec, headroom: task.ownHeadroom });
        }
        room.freeMemoryMb -= spec.memoryMb;
        room.freeAccelerators -= spec.accelerators;
    }
    return room;
}
