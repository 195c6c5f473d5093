import { JobState } from "@sardinestage/describe-work";
import type { Task } from "./task.js";
import { TaskPhase } from "./taskPhase.js";

/** Updates a task for a new run that has been ordered on a worker. */
export function applyRunStart(task: Task, workerId: string, run: number, nowMs: number): void {
    const { job } = task.step.occurrence;
    task.phase = TaskPhase.Ordered;
    task.workerId = workerId;
    task.run = run;
    task.orderedAtMs = nowMs;
    task.firstSeenAtMs = 0;
    task.listedAtMs = 0;
    task.orderSettledAtMs = Infinity;
    task.orderFence = Infinity;
    task.isStartQueued = false;
    task.isStartUnderWay = false;
    task.isStartUnconfirmed = false;
    task.percent = 0;
    task.progressAtMs = nowMs;
    task.pace = 100;
    task.measurement = 0;
    if (job.state === JobState.Queued) {
        job.state = JobState.Running;
    }
}
