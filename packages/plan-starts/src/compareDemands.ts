import { isInterrupted } from "./isInterrupted.js";
import type { StepDemand } from "./stepDemand.js";

/** Slack that a job needs before its first start, as a share of its remaining work: under load everything takes longer. */
const FIRST_START_MARGIN = 1;

/** How long work that stays gives way to work that ends, in milliseconds. */
const LONGEST_GIVING_WAY_MS = 2000;

/** The order of work that ends and work that stays; the lower goes first. */
enum Turn {
    /** It stays, was at work before, and is away from those that it serves. */
    Resumes,
    /** It stays, and has given way for long enough. */
    StaysOverdue,
    Ends,
    Stays,
}

/** How much good it does to serve a demand now; the lower goes first. */
enum Prospect {
    /** It is likely to be in time. */
    InTime,
    /** It would be in time if nothing held it up. */
    Doubtful,
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
        || getTurn(left) - getTurn(right)
        || getProspect(left) - getProspect(right)
        || Number(right.isStarted) - Number(left.isStarted)
        || left.slackMs - right.slackMs;
}

function getPriority(demand: StepDemand): number {
    return demand.step.occurrence.job.queue.priority;
}

function getTurn(demand: StepDemand): Turn {
    if (!demand.step.spec.longRunning) {
        return Turn.Ends;
    }
    if (isInterrupted(demand)) {
        return Turn.Resumes;
    }
    return demand.waitedMs >= LONGEST_GIVING_WAY_MS ? Turn.StaysOverdue : Turn.Stays;
}

function getProspect(demand: StepDemand): Prospect {
    if (demand.slackMs >= 0) {
        const isLikely = demand.isStarted || demand.slackMs >= demand.remainingMs * FIRST_START_MARGIN;
        return isLikely ? Prospect.InTime : Prospect.Doubtful;
    }
    return demand.lateSlackMs >= 0 ? Prospect.Late : Prospect.Useless;
}
