import { JobState } from "@sardinestage/describe-work";
import type { Job, Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";

/**
 * Counts the accepted jobs of a queue of which no task has started. A task whose start was ordered but not yet accepted
 * by a worker hasn't started.
 */
export function countPending(jobs: Iterable<Job>, queue: string): number {
    let pending = 0;
    for (const job of jobs) {
        pending += job.queue.name === queue && isPending(job) ? 1 : 0;
    }
    return pending;
}

function isPending(job: Job): boolean {
    return job.state === JobState.Queued || (job.state === JobState.Running && !hasStarted(job));
}

function hasStarted(job: Job): boolean {
    if (job.doneOccurrences.size > 0) {
        return true;
    }
    for (const task of job.listKnownTasks()) {
        if (hasTaskStarted(task)) {
            return true;
        }
    }
    return false;
}

/**
 * Whether a worker has accepted a run of the task, as far as this coordinator knows. A run that an earlier coordinator
 * ordered may not have started.
 */
function hasTaskStarted(task: Task): boolean {
    const isTaken = task.phase === TaskPhase.Ordered && task.orderedAtMs > 0 && task.orderSettledAtMs !== Infinity;
    return isTaken || task.phase === TaskPhase.Running || task.phase === TaskPhase.Done || task.firstSeenAtMs > 0
        || task.failedRuns.size > 0 || task.checkpoint !== "";
}
