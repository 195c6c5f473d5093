import type { WorkerRoom } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import { buildWorkerCapacity } from "./buildWorkerCapacity.js";
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
            rooms.push(buildWorkerCapacity(link, startsLeft, getHeadroom));
        }
    }
    return rooms;
}
