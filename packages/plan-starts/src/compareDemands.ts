import { isInterrupted } from "./isInterrupted.js";
import { isOverdueFirstStart } from "./isOverdueFirstStart.js";
import type { StepDemand } from "./stepDemand.js";

/**
 * Slack that a job needs before its first start to be expected on time, as a share of its remaining work: tasks run
 * longer than estimated under load.
 */
const FIRST_START_SLACK_SHARE = 1;

/** Rank of run-to-completion and long-running steps within one priority; the lowest starts first. */
enum LifetimeRank {
    /** A long-running step with a task that ran before and waits again, so that its users do without the task. */
    InterruptedLongRunning,
    /** A long-running step that has waited long enough behind run-to-completion steps. */
    OverdueLongRunning,
    RunToCompletion,
    LongRunning,
}

/** Whether a job that starts now finishes by its target time; the lowest starts first. */
enum Timeliness {
    /** Expected to finish on time. */
    OnTime,
    /** Finishes on time only if nothing delays it. */
    AtRisk,
    /** Finishes after its target time, but the result is still useful. */
    Late,
    /** So late that the result is no longer useful. */
    Useless,
}

/**
 * Compares two demands by start order: by priority, then by lifetime rank, then by the rank of their queues' shares if
 * there are any, then by timeliness, then started jobs before new ones, then by slack, the smallest first.
 *
 * Run-to-completion steps start before long-running ones because they free their capacity again. Long-running steps
 * yield for a limited time only, since they would never start under sustained load. An interrupted long-running step
 * goes before every other step of its priority. In a burst that can't all finish on time, jobs that have started and
 * jobs that can still finish on time are completed, instead of all jobs being a little late.
 *
 * @returns Negative when `left` starts first.
 */
export function compareDemands(left: StepDemand, right: StepDemand): number {
    return getPriority(left) - getPriority(right)
        || getLifetimeRank(left) - getLifetimeRank(right)
        || (left.shareRank ?? 0) - (right.shareRank ?? 0)
        || getTimeliness(left) - getTimeliness(right)
        || Number(right.isStarted) - Number(left.isStarted)
        || left.slackMs - right.slackMs;
}

function getPriority(demand: StepDemand): number {
    return demand.step.occurrence.job.queue.priority;
}

function getLifetimeRank(demand: StepDemand): LifetimeRank {
    if (!demand.step.spec.longRunning) {
        return LifetimeRank.RunToCompletion;
    }
    if (isInterrupted(demand)) {
        return LifetimeRank.InterruptedLongRunning;
    }
    return isOverdueFirstStart(demand) ? LifetimeRank.OverdueLongRunning : LifetimeRank.LongRunning;
}

function getTimeliness(demand: StepDemand): Timeliness {
    if (demand.slackMs >= 0) {
        const isLikely = demand.isStarted || demand.slackMs >= demand.remainingMs * FIRST_START_SLACK_SHARE;
        return isLikely ? Timeliness.OnTime : Timeliness.AtRisk;
    }
    return demand.lateSlackMs >= 0 ? Timeliness.Late : Timeliness.Useless;
}
