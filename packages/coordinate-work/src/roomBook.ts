import type { WorkerRoom } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import { buildRoom } from "./buildRoom.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** What is expected of serving tasks is worked out anew after this, in milliseconds: well within two looks at a worker. */
const LONGEST_KEPT_MS = 200;

/** A room, and what it was built from. */
interface Kept {
    readonly room: WorkerRoom;
    readonly entry: TrackedWorker["entry"];
    readonly tasks: readonly Task[];
    readonly builtAtMs: number;
    /** The starts that it was listed with; fewer left mean that a round has taken from it. */
    startsLeft: number;
}

/** Keeps what workers have left, and works it out anew only where something has changed. */
export class RoomBook {
    private readonly kept = new WeakMap<TrackedWorker, Kept>();

    /**
     * Lists what the workers that take work have left. A round may take from the rooms, and what it took may be gone again
     * before the next one, so such a room is built anew too.
     *
     * @param links The workers.
     * @param nowMs Steady milliseconds.
     * @param getStartsLeft How many starts a worker may get now.
     * @param getHeadroom What a serving task is expected to have without filling tasks; undefined while unknown.
     */
    updateRooms(
        links: Iterable<TrackedWorker>,
        nowMs: number,
        getStartsLeft: (link: TrackedWorker) => number,
        getHeadroom: (task: Task) => number | undefined,
    ): WorkerRoom[] {
        const rooms: WorkerRoom[] = [];
        for (const link of links) {
            const startsLeft = getStartsLeft(link);
            if (startsLeft > 0) {
                const kept = this.updateRoom(link, nowMs, getHeadroom);
                kept.startsLeft = startsLeft;
                kept.room.startsLeft = startsLeft;
                rooms.push(kept.room);
            }
        }
        return rooms;
    }

    private updateRoom(
        link: TrackedWorker,
        nowMs: number,
        getHeadroom: (task: Task) => number | undefined,
    ): Kept {
        const { entry, tasks } = link;
        const kept = this.kept.get(link);
        const isSame = kept !== undefined && kept.entry === entry && kept.room.startsLeft === kept.startsLeft
            && kept.tasks.length === tasks.size && kept.tasks.every(task => tasks.has(task));
        if (isSame && nowMs - kept.builtAtMs <= LONGEST_KEPT_MS) {
            return kept;
        }
        const room = buildRoom(link, 0, getHeadroom);
        const built = { room, entry, tasks: [...tasks], builtAtMs: nowMs, startsLeft: 0 };
        this.kept.set(link, built);
        return built;
    }
}
