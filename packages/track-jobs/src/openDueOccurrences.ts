import type { Job } from "./job.js";
import type { OccurrenceLimits } from "./occurrenceLimits.js";
import { openOccurrence } from "./openOccurrence.js";

/** How many occurrences of a job may be open and without a start, the oldest and the newest ones each. */
const MAX_UNSTARTED = 32;
/** With more ranges of done occurrences than this, only the oldest are opened: their record grows with the gaps. */
const MAX_DONE_RANGES = 500;
/** Occurrences that a job may have open whatever its size. */
const MIN_OPEN = 2;

/**
 * Opens occurrences of a job that are due: a few ahead of what has started, so that a schedule with many due ones takes
 * memory for what can run. Some places are for the oldest ones, in order, and some for the newest, so that an
 * occurrence that comes due doesn't wait for all before it.
 *
 * @param job The job.
 * @param wallNowMs Current wall-clock time in Unix milliseconds.
 * @param limits Limits of what may be open.
 * @returns When the next occurrence is due, in Unix milliseconds; undefined if none is left. Occurrences that are due
 *   but not opened aren't counted: they are opened once others have started.
 */
export function openDueOccurrences(
    job: Job,
    wallNowMs: number,
    limits: OccurrenceLimits = { maxOpen: Infinity },
): number | undefined {
    if (job.isFinished) {
        return undefined;
    }
    const dueCount = countDue(job, wallNowMs);
    const { begunOccurrences: begun, unstarted } = job;
    unstarted.dropStarted();
    const maxOpen = Math.max(MIN_OPEN, limits.maxOpen);
    const isOpenable = (number: number) => number >= 0 && number < dueCount && job.openOccurrences.size < maxOpen;
    for (let number = begun.findMissingFrom(0); isOpenable(number); number = begun.findMissingFrom(number)) {
        if (unstarted.oldest.size >= MAX_UNSTARTED) {
            break;
        }
        openOccurrence(job, number);
        unstarted.addOldest(job.openOccurrences.get(number));
    }
    for (let number = begun.findMissingBelow(dueCount); isOpenable(number); number = begun.findMissingBelow(number)) {
        if (unstarted.newest.size >= MAX_UNSTARTED || job.doneOccurrences.rangeCount > MAX_DONE_RANGES) {
            break;
        }
        openOccurrence(job, number);
        unstarted.addNewest(job.openOccurrences.get(number));
    }
    return dueCount < job.occurrenceCount ? job.getDueTime(dueCount) : undefined;
}

/** Counts the occurrences that are due, done ones included. */
function countDue(job: Job, wallNowMs: number): number {
    const { occurrenceCount } = job;
    const isDue = (number: number) => job.getDueTime(number) <= wallNowMs;
    if (!isDue(0)) {
        return 0;
    }
    const { intervalMs, firstRunMs, repeatCount } = job.spec;
    if (repeatCount === 0 || intervalMs === 0 || isDue(occurrenceCount - 1)) {
        return occurrenceCount;
    }
    // The division may be off by one.
    const estimate = Math.floor((wallNowMs - firstRunMs) / intervalMs);
    return [estimate + 2, estimate + 1, estimate, estimate - 1].find(count => count > 0 && isDue(count - 1)) ?? 1;
}
