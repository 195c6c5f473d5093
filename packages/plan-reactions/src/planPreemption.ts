import { resourceMath } from "@sardinestage/place-tasks";
import type { Resources, TaskSpec } from "@sardinestage/types";
import { Urgency } from "@sardinestage/types";
import type { Reaction } from "./reaction.js";
import type { RunningBatchTask } from "./runningBatchTask.js";

interface PreemptionView {
    /** Tasks that are bound to the worker and do not run yet. */
    readonly pending: readonly TaskSpec[];
    readonly batch: readonly RunningBatchTask[];
    /** Free capacity of the worker. */
    readonly freeCapacity: Resources;
    readonly estimateSize: (spec: TaskSpec) => Resources;
    /** Whether the guaranteed shares allow the urgent task to preempt the victim. */
    readonly mayPreempt: (victim: TaskSpec, urgent: TaskSpec) => boolean;
    readonly maxEvictions: number;
}

/**
 * Decides which running batch tasks are preempted by an urgent task that is bound to the same worker and does not fit.
 *
 * @returns The evictions, least urgent tasks first, then those that lose the least work. Empty when the allowed
 * evictions would not free enough capacity.
 */
export function planPreemption(view: PreemptionView): Reaction[] {
    const urgent = view.pending
        .filter(spec => spec.urgency >= Urgency.High)
        .sort((a, b) => b.urgency - a.urgency)
        .find(spec => !resourceMath.fits(computeNeed(spec, view), view.freeCapacity));
    if (urgent === undefined) {
        return [];
    }
    const victims = view.batch
        .filter(task => task.spec.urgency < urgent.urgency && view.mayPreempt(task.spec, urgent))
        .sort((a, b) => a.spec.urgency - b.spec.urgency || a.lossMs - b.lossMs);
    const reactions: Reaction[] = [];
    let freeCapacity = view.freeCapacity;
    for (const { spec } of victims.slice(0, view.maxEvictions)) {
        freeCapacity = resourceMath.add(freeCapacity, computeNeed(spec, view));
        reactions.push({ taskId: spec.taskId, throttle: 1, reason: `room for urgent task ${urgent.taskId}` });
        if (resourceMath.fits(computeNeed(urgent, view), freeCapacity)) {
            return reactions;
        }
    }
    return [];
}

function computeNeed(spec: TaskSpec, view: PreemptionView): Resources {
    return resourceMath.max(spec.size, view.estimateSize(spec));
}
