import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import { limits } from "../limits.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import type { IdleContext } from "./idleContext.js";
import { IdleReason } from "./idleReason.js";

/**
 * Explains why a task that is due has no run that is known to be active. There is exactly one reason at a time.
 *
 * @param task A task that isn't done and whose turn has come.
 * @param nowMs Steady milliseconds.
 * @param context What has to be known beside the task.
 * @returns Undefined if a worker has listed the task's run as active a moment ago.
 */
export function explainIdle(task: Task, nowMs: number, context: IdleContext): IdleReason | undefined {
    if (task.phase === TaskPhase.Waiting) {
        return context.explainWaiting(task.step);
    }
    if (task.phase === TaskPhase.Ordered && task.orderFence === Infinity) {
        return task.isStartQueued ? IdleReason.StartQueued : IdleReason.RecordPending;
    }
    const isListed = nowMs - task.listedAtMs <= limits.workerSilenceMs;
    if (task.phase === TaskPhase.Running && isListed) {
        return undefined;
    }
    return explainWorker(task, context.findWorker(task.workerId)) ?? explainOrder(task);
}

function explainWorker(task: Task, worker: TrackedWorker | undefined): IdleReason | undefined {
    if (worker?.tasks.has(task) !== true) {
        return IdleReason.WorkerUnknown;
    }
    if (worker.missedRenewals > 0) {
        return worker.isUnlisted ? IdleReason.WorkerUnlisted : IdleReason.WorkerSilent;
    }
    return worker.isLifeReported ? undefined : IdleReason.WorkerUnreported;
}

function explainOrder(task: Task): IdleReason {
    if (task.phase === TaskPhase.Stopping) {
        return IdleReason.StopPending;
    }
    if (task.phase === TaskPhase.Running) {
        return IdleReason.RunNotListed;
    }
    if (task.isStartUnderWay) {
        return IdleReason.StartUnderWay;
    }
    return task.isStartUnconfirmed ? IdleReason.StartUnanswered : IdleReason.StartNotListed;
}
