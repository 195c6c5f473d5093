import type { Reaction } from "./reaction.js";
import type { RunningBatchTask } from "./runningBatchTask.js";

/** Shares of a task's processors that successive steps take away. The last step evicts the task. */
const THROTTLE_STEPS = [0.5, 0.9, 1];
const EVICT = 1;
/**
 * Throttling is reduced once the slowdown is below this share of the allowed slowdown. The gap to the limit prevents
 * steps that alternate between more and less throttling.
 */
const RELAX_SHARE = 0.5;
/**
 * A task that would lose this much work is half as eligible for a step as one that would lose none, in milliseconds.
 */
const LOSS_SCALE_MS = 60_000;

interface InterferenceView {
    /** Latency divided by the latency without neighbours, the largest among the worker's services. */
    readonly slowdown: number;
    readonly slowdownLimit: number;
    readonly batch: readonly RunningBatchTask[];
    /** Whether enough time has passed for the effect of the last step to show in the worker's reports. */
    readonly isSettled: boolean;
    /** Whether the eviction budget allows an eviction now. */
    readonly mayEvict: boolean;
}

/**
 * Decides the next step on one worker: more throttling while a service is slowed down beyond the limit, less once the
 * services have recovered.
 *
 * @returns The step for one task, or `undefined` when no step is due.
 */
export function planInterferenceStep(view: InterferenceView): Reaction | undefined {
    if (!view.isSettled || view.batch.length === 0) {
        return undefined;
    }
    if (view.slowdown > view.slowdownLimit) {
        return planThrottleIncrease(view);
    }
    if (view.slowdown < 1 + (view.slowdownLimit - 1) * RELAX_SHARE) {
        return planThrottleDecrease(view.batch);
    }
    return undefined;
}

function planThrottleIncrease(view: InterferenceView): Reaction | undefined {
    const computeScore = (task: RunningBatchTask) =>
        task.interference * (1 - task.throttle) / (1 + task.lossMs / LOSS_SCALE_MS);
    for (const task of [...view.batch].sort((a, b) => computeScore(b) - computeScore(a))) {
        const next = THROTTLE_STEPS.find(step => step > task.throttle) ?? EVICT;
        if (next < EVICT || view.mayEvict) {
            const reason = `a service runs at ${view.slowdown.toFixed(2)} times its latency alone`;
            return { taskId: task.spec.taskId, throttle: next, reason };
        }
    }
    return undefined;
}

function planThrottleDecrease(batch: readonly RunningBatchTask[]): Reaction | undefined {
    const throttled = batch.filter(task => task.throttle > 0).sort((a, b) => a.interference - b.interference)[0];
    if (throttled === undefined) {
        return undefined;
    }
    const previous = THROTTLE_STEPS.findLast(step => step < throttled.throttle) ?? 0;
    return { taskId: throttled.spec.taskId, throttle: previous, reason: "services have recovered" };
}
