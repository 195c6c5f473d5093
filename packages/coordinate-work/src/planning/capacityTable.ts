import type { WorkerCapacity } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import { computeTrialState } from "../workers/computeTrialState.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { buildWorkerCapacity } from "./buildWorkerCapacity.js";

/**
 * Headroom estimates of serving tasks are computed again after this, in milliseconds: well within two polls of a
 * worker.
 */
const MAX_AGE_MS = 200;

/** A worker's free capacity, and what it was built from. */
interface CachedCapacity {
    readonly capacity: WorkerCapacity;
    readonly entry: TrackedWorker["entry"];
    readonly tasks: readonly Task[];
    readonly builtAtMs: number;
    /** The starts left when the capacity was listed; if the capacity now has fewer, a round has started tasks on it. */
    startsLeft: number;
}

/** Caches the free capacity of workers, and rebuilds it only for workers that have changed. */
export class CapacityTable {
    private readonly cached = new WeakMap<TrackedWorker, CachedCapacity>();

    /**
     * Lists the free capacity of the workers that may get a start now. A round takes from the capacities that it is
     * given, and the tasks that it started may have ended before the next round, so a capacity that a round took from
     * is rebuilt too.
     *
     * @param workers The workers; those that may get no start are left out of the result.
     * @param nowMs Steady milliseconds.
     * @param getStartsLeft How many starts a worker may get now.
     * @param estimateHeadroom Estimates a serving task's headroom without best-effort tasks; undefined while unknown.
     * @param estimateEnd Estimates when a task ends, in steady milliseconds; left out if capacity isn't planned ahead.
     */
    updateCapacities(
        workers: Iterable<TrackedWorker>,
        nowMs: number,
        getStartsLeft: (worker: TrackedWorker) => number,
        estimateHeadroom: (task: Task) => number | undefined,
        estimateEnd?: (task: Task) => number,
    ): WorkerCapacity[] {
        const capacities: WorkerCapacity[] = [];
        for (const worker of workers) {
            const startsLeft = getStartsLeft(worker);
            if (startsLeft > 0) {
                const cached = this.updateCapacity(worker, nowMs, estimateHeadroom, estimateEnd);
                cached.startsLeft = startsLeft;
                cached.capacity.startsLeft = startsLeft;
                cached.capacity.trial = computeTrialState(worker);
                cached.capacity.isReserved = false;
                capacities.push(cached.capacity);
            }
        }
        return capacities;
    }

    private updateCapacity(
        worker: TrackedWorker,
        nowMs: number,
        estimateHeadroom: (task: Task) => number | undefined,
        estimateEnd?: (task: Task) => number,
    ): CachedCapacity {
        const { entry, tasks } = worker;
        const cached = this.cached.get(worker);
        const isSame = cached !== undefined && cached.entry === entry
            && cached.capacity.startsLeft === cached.startsLeft
            && cached.tasks.length === tasks.size && cached.tasks.every(task => tasks.has(task));
        if (isSame && nowMs - cached.builtAtMs <= MAX_AGE_MS) {
            return cached;
        }
        const capacity = buildWorkerCapacity(worker, 0, estimateHeadroom, estimateEnd);
        const built = { capacity, entry, tasks: [...tasks], builtAtMs: nowMs, startsLeft: 0 };
        this.cached.set(worker, built);
        return built;
    }
}
