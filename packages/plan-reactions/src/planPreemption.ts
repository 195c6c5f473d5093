import { resourceMath } from "@sardinestage/place-tasks";
import type { Resources, TaskSpec } from "@sardinestage/types";
import { Urgency } from "@sardinestage/types";
import type { Reaction } from "./reaction.js";
import type { RunningBatch } from "./runningBatch.js";

interface PreemptionView {
    /** Tasks bound to the worker that don't run yet. */
    readonly pending: readonly TaskSpec[];
    readonly batch: readonly RunningBatch[];
    /** Room that is left on the worker. */
    readonly room: Resources;
    readonly estimateSize: (spec: TaskSpec) => Resources;
    /** Whether guaranteed shares allow that one task gives way to another. */
    readonly mayGiveWay: (victim: TaskSpec, urgent: TaskSpec) => boolean;
    readonly maxEvictions: number;
}

/**
 * Decides which running batch tasks give way to urgent work that is bound to the same worker and doesn't fit.
 *
 * @returns Evictions, the least work lost first; none when they would not make enough room.
 */
export function planPreemption(view: PreemptionView): Reaction[] {
    const urgent = view.pending
        .filter(spec => spec.urgency >= Urgency.High)
        .sort((a, b) => b.urgency - a.urgency)
        .find(spec => !resourceMath.fits(computeNeed(spec, view), view.room));
    if (urgent === undefined) {
        return [];
    }
    const victims = view.batch
        .filter(task => task.spec.urgency < urgent.urgency && view.mayGiveWay(task.spec, urgent))
        .sort((a, b) => a.spec.urgency - b.spec.urgency || a.lossMs - b.lossMs);
    const reactions: Reaction[] = [];
    let room = view.room;
    for (const { spec } of victims.slice(0, view.maxEvictions)) {
        room = resourceMath.add(room, computeNeed(spec, view));
        reactions.push({ taskId: spec.taskId, throttle: 1, reason: `room for urgent task ${urgent.taskId}` });
        if (resourceMath.fits(computeNeed(urgent, view), room)) {
            return reactions;
        }
    }
    return [];
}

function computeNeed(spec: TaskSpec, view: PreemptionView): Resources {
    return resourceMath.max(spec.size, view.estimateSize(spec));
}
