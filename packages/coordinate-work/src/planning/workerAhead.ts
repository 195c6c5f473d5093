import type { ExpectedEnd } from "@sardinestage/plan-capacity";
import type { CapacityAhead, HeldReservation } from "@sardinestage/plan-starts";
import { describeNeed } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import type { TrackedWorker } from "../workers/trackedWorker.js";

/** What is expected of a worker's capacity. Ends are estimated when first read, since few rounds need those of a worker. */
export class WorkerAhead implements CapacityAhead {
    reservations: readonly HeldReservation[] = [];
    readonly plannedEnds: ExpectedEnd[] = [];
    private knownEnds: readonly ExpectedEnd[] | undefined;

    /** @param estimateEnd Estimates when a task ends, in steady milliseconds. */
    constructor(private readonly worker: TrackedWorker, private readonly estimateEnd: (task: Task) => number) {}

    /** Expected ends of the tasks on the worker. */
    get ends(): readonly ExpectedEnd[] {
        this.knownEnds ??= this.listEnds();
        return this.knownEnds;
    }

    private listEnds(): ExpectedEnd[] {
        const ends: ExpectedEnd[] = [];
        for (const task of this.worker.tasks) {
            const atMs = this.estimateEnd(task);
            if (atMs < Infinity) {
                ends.push({ ...describeNeed(task.step.spec), atMs });
            }
        }
        return ends;
    }
}
