import type { WorkerRoom } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import { buildWorkerCapacity } from "./buildWorkerCapacity.js";
import type { WorkerLink } from "./workerLink.js";

/** What is expected of serving tasks is worked out anew after this, in milliseconds: well within two looks at a worker. */
const MAX_AGE_MS = 200;

/** A room, and what it was built from. */
interface CachedCapacity {
    readonly room: WorkerRoom;
    readonly entry: WorkerLink["entry"];
    readonly tasks: readonly Task[];
    readonly builtAtMs: number;
    /** The starts that it was listed with; fewer left mean that a round has taken from it. */
    startsLeft: number;
}

/** Keeps what workers have left, and works it out anew only where something has changed. */
export class CapacityTable {
    private readonly cached = new WeakMap<WorkerLink, CachedCapacity>();

    /**
     * Lists what the workers that take work have left. A round may take from the rooms, and what it took may be gone again
     * before the next one, so such a room is built anew too.
     *
     * @param links The workers.
     * @param nowMs Steady milliseconds.
     * @param getStartsLeft How many starts a worker may get now.
     * @param getHeadroom What a serving task is expected to have without filling tasks; undefined while unknown.
     */
    updateCapacities(
        links: Iterable<WorkerLink>,
        nowMs: number,
        getStartsLeft: (link: WorkerLink) => number,
        getHeadroom: (task: Task) => number | undefined,
    ): WorkerRoom[] {
        const rooms: WorkerRoom[] = [];
        for (const link of links) {
            const startsLeft = getStartsLeft(link);
            if (startsLeft > 0) {
                const kept = this.updateCapacity(link, nowMs, getHeadroom);
                kept.startsLeft = startsLeft;
                kept.room.startsLeft = startsLeft;
                rooms.push(kept.room);
            }
        }
        return rooms;
    }

    private updateCapacity(
        link: WorkerLink,
        nowMs: number,
        getHeadroom: (task: Task) => number | undefined,
    ): CachedCapacity {
        const { entry, tasks } = link;
        const kept = this.cached.get(link);
        const isSame = kept !== undefined && kept.entry === entry && kept.room.startsLeft === kept.startsLeft
            && kept.tasks.length === tasks.size && kept.tasks.every(task => tasks.has(task));
        if (isSame && nowMs - kept.builtAtMs <= MAX_AGE_MS) {
            return kept;
        }
        const room = buildWorkerCapacity(link, 0, getHeadroom);
        const built = { room, entry, tasks: [...tasks], builtAtMs: nowMs, startsLeft: 0 };
        this.cached.set(link, built);
        return built;
    }
}
