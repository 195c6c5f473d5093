import type { WorkerReport } from "@sardinestage/call-platform";
import type { TaskEntry } from "@sardinestage/fold-tasks";
import { resourceMath } from "@sardinestage/place-tasks";
import type { Reaction, RunningBatchTask } from "@sardinestage/plan-reactions";
import { planInterferenceStep, planPreemption } from "@sardinestage/plan-reactions";
import type { Resources, WorkerTask } from "@sardinestage/types";
import { RunState, WorkKind } from "@sardinestage/types";
import type { WorkerContext } from "./workerContext.js";

interface ReactionView {
    readonly context: WorkerContext;
    readonly worker: string;
    readonly capacity: Resources;
    readonly report: WorkerReport;
    /** Tasks that are bound to the worker according to the log. */
    readonly bound: readonly TaskEntry[];
    /** Whether enough time has passed for the effect of the last step to show in the worker's reports. */
    readonly isSettled: boolean;
}

/** Decides which running batch tasks of a worker are throttled or evicted now. */
export function planWorkerReactions(view: ReactionView): Reaction[] {
    const { behaviour, evictions, settings, now, mayPreempt } = view.context;
    const running = view.report.tasks.filter(task => task.state === RunState.Running);
    const batch = running.filter(task => task.spec.kind === WorkKind.Batch)
        .map(task => describeBatch(task, running, view.context));
    const remainingEvictions = evictions.getRemaining(now());
    const runningIds = new Set(running.map(task => task.taskId));
    const estimateSize = behaviour.estimateSize.bind(behaviour);
    const used = running
        .map(task => resourceMath.max(task.spec.size, estimateSize(task.spec)))
        .reduce(resourceMath.add, resourceMath.none);
    const preemptions = planPreemption({
        pending: view.bound.filter(entry => !runningIds.has(entry.spec.taskId)).map(entry => entry.spec),
        batch,
        freeCapacity: resourceMath.subtract(view.capacity, used),
        estimateSize,
        mayPreempt,
        maxEvictions: remainingEvictions,
    });
    if (preemptions.length > 0) {
        return preemptions;
    }
    const step = planInterferenceStep({
        slowdown: behaviour.getSlowdown(view.worker),
        slowdownLimit: settings.reaction.slowdownLimit,
        batch,
        isSettled: view.isSettled,
        mayEvict: remainingEvictions > 0,
    });
    return step === undefined ? [] : [step];
}

function describeBatch(task: WorkerTask, running: readonly WorkerTask[], context: WorkerContext): RunningBatchTask {
    const harm = running.filter(other => other.spec.kind === WorkKind.LatencyCritical)
        .reduce((sum, service) => sum + context.behaviour.estimateInterference(service.spec, task.spec), 0);
    const saved = Number(task.checkpoint ?? 0);
    const lost = Math.max(0, task.progress - (Number.isFinite(saved) ? saved : 0));
    return { spec: task.spec, throttle: task.throttle, interference: harm, lossMs: lost * task.spec.expectedRunMs };
}
