import type { Reaction } from "./reaction.js";
import type { RunningBatch } from "./runningBatch.js";

/** Throttle first, then throttle hard, then evict. */
const STEPS = [0.5, 0.9, 1];
const EVICT = 1;
/** Below this share of the allowed slow-down, a throttle is taken back: the gap keeps steps from alternating. */
const RELAX_SHARE = 0.5;
/** Work lost counts against harm prevented by this many milliseconds. */
const LOSS_SCALE_MS = 60_000;

interface InterferenceView {
    /** Latency over latency alone, the worst of the worker's services. */
    readonly slowdown: number;
    readonly slowdownLimit: number;
    readonly batch: readonly RunningBatch[];
    /** Whether the last step has had time to show in the lagging reports. */
    readonly isSettled: boolean;
    /** Whether the budget allows an eviction now. */
    readonly mayEvict: boolean;
}

/**
 * Decides the next step against a service's slow-down on one worker, or the next step back.
 *
 * @returns One reaction, or `undefined` when nothing is to be done yet.
 */
export function planInterferenceStep(view: InterferenceView): Reaction | undefined {
    if (!view.isSettled || view.batch.length === 0) {
        return undefined;
    }
    if (view.slowdown > view.slowdownLimit) {
        return planTightening(view);
    }
    if (view.slowdown < 1 + (view.slowdownLimit - 1) * RELAX_SHARE) {
        return planRelaxing(view.batch);
    }
    return undefined;
}

function planTightening(view: InterferenceView): Reaction | undefined {
    const worth = (task: RunningBatch) => task.harm * (1 - task.throttle) / (1 + task.lossMs / LOSS_SCALE_MS);
    for (const task of [...view.batch].sort((a, b) => worth(b) - worth(a))) {
        const next = STEPS.find(step => step > task.throttle) ?? EVICT;
        if (next < EVICT || view.mayEvict) {
            const reason = `a service runs at ${view.slowdown.toFixed(2)} times its latency alone`;
            return { taskId: task.spec.taskId, throttle: next, reason };
        }
    }
    return undefined;
}

function planRelaxing(batch: readonly RunningBatch[]): Reaction | undefined {
    const throttled = batch.filter(task => task.throttle > 0).sort((a, b) => a.harm - b.harm)[0];
    if (throttled === undefined) {
        return undefined;
    }
    const previous = STEPS.findLast(step => step < throttled.throttle) ?? 0;
    return { taskId: throttled.spec.taskId, throttle: previous, reason: "services have recovered" };
}
