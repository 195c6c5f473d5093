import type { WorkerRoom } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import { buildRoom } from "./buildRoom.js";
import type { TrackedWorker } from "./trackedWorker.js";

/**
 * Describes what the workers that take work have left.
 *
 * @param links The workers.
 * @param getStartsLeft How many starts a worker may get now.
 * @param getHeadroom What a serving task is expected to have without filling tasks; undefined while unknown.
 */
export function buildRooms(
    links: Iterable<TrackedWorker>,
    getStartsLeft: (link: TrackedWorker) => number,
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
