import { isInterrupted } from "./isInterrupted.js";
import type { StepDemand } from "./stepDemand.js";

/** Slack that a job needs before its first start, as a share of its remaining work: under load everything takes longer. */
const FIRST_START_SLACK_SHARE = 1;

/** How long work that stays gives way to work that ends, in milliseconds. */
const MAX_YIELD_MS = 2000;

/** The order of work that ends and work that stays; the lower goes first. */
enum LifetimeRank {
    /** It stays, was at work before, and is away from those that it serves. */
    InterruptedLongRunning,
    /** It stays, and has given way for long enough. */
    OverdueLongRunning,
    RunToCompletion,
    LongRunning,
}

/** How much good it does to serve a demand now; the lower goes first. */
enum Timeliness {
    /** It is likely to be in time. */
    OnTime,
    /** It would be in time if nothing held it up. */
    AtRisk,
    /** It is late, but still of use. */
    Late,
    /** Nobody gains any more. */
    Useless,
}

/**
 * Orders demands: by priority, then by their prospect; within these, what has begun goes before what hasn't, and the
 * tightest first. Work that ends goes before work that stays, since it gives its room back, but not for long: under
 * sustained load work that stays would never start. What stays and was interrupted gives way to nothing. Answers bursts:
 * where not all can be in time, those that have begun
 * and those that still can be are finished, instead of all being a little late.
 *
 * @returns Negative when `left` goes first.
 */
export function compareDemands(left: StepDemand, right: StepDemand): number {
    return getPriority(left) - getPriority(right)
        || getLifetimeRank(left) - getLifetimeRank(right)
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
    return demand.waitedMs >= MAX_YIELD_MS ? LifetimeRank.OverdueLongRunning : LifetimeRank.LongRunning;
}

function getTimeliness(demand: StepDemand): Timeliness {
    if (demand.slackMs >= 0) {
        const isLikely = demand.isStarted || demand.slackMs >= demand.remainingMs * FIRST_START_SLACK_SHARE;
        return isLikely ? Timeliness.OnTime : Timeliness.AtRisk;
    }
    return demand.lateSlackMs >= 0 ? Timeliness.Late : Timeliness.Useless;
}
