import { JobState } from "@sardinestage/describe-work";
import type { Job, Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";

/** Counts the accepted jobs of a queue of which no task has begun; one that was only ordered waits like the others. */
export function countPending(jobs: Iterable<Job>, queue: string): number {
    let pending = 0;
    for (const job of jobs) {
        pending += job.queue.name === queue && isPending(job) ? 1 : 0;
    }
    return pending;
}

function isPending(job: Job): boolean {
    return job.state === JobState.Queued || (job.state === JobState.Running && !hasBegun(job));
}

function hasBegun(job: Job): boolean {
    if (job.doneOccurrences.size > 0) {
        return true;
    }
    for (const task of job.listTasks()) {
        if (hasTaskBegun(task)) {
            return true;
        }
    }
    return false;
}

/** Whether a worker has taken a run of it, as far as this coordinator was told; what an earlier one ordered may not have begun. */
function hasTaskBegun(task: Task): boolean {
    const isTaken = task.phase === TaskPhase.Ordered && task.orderedAtMs > 0 && task.settledAtMs !== Infinity;
    return isTaken || task.phase === TaskPhase.Running || task.phase === TaskPhase.Done || task.seenAtMs > 0
        || task.failedRuns.size > 0 || task.checkpoint !== "";
}
