import type { AdvicePolicy } from "@sardinestage/describe-work";
import type { AdviceWorker } from "./adviceWorker.js";

/** The most workers that one call names: the advice service takes longer for each. */
const MAX_WORKERS_PER_CALL = 30;
/** Part of a ticket's validity that a call may take, so that most of it is left when the tickets arrive. */
const MAX_VALIDITY_SHARE = 1 / 4;
/** Longest time that a call should take, in milliseconds, since all other steps wait for it. */
const MAX_SERVICE_MS = 1000;
/** Tickets are asked for so many times the room that a step needs: others may take some of it meanwhile. */
const ROOM_FACTOR = 2;
/** Lower bound of the share of the workers that are expected to be permitted. */
const MIN_PERMITTED_SHARE = 0.05;
/** Weight of the newest answer in the moving average of that share. */
const NEWEST_WEIGHT = 0.2;

/** Chooses how many workers a call to the advice service names. */
export class AdviceCallSize {
    /** Part of the largest size that is used; below 1 after calls that timed out. */
    private sizeShare = 1;
    /** Moving average of the share of the named workers that were permitted. */
    private permittedShare = 1;

    /**
     * Chooses the number: as many as the step needs, but a call should neither hold up the others nor use up the
     * validity of its tickets. What it costs beside the workers is spent in any case, so they may cost as much again.
     *
     * @param workers The workers to choose from, the most useful first.
     * @param waitingTasks The number of the step's waiting tasks.
     * @param isCrowded Whether many steps wait for tickets, so that a call names no more workers than its step needs.
     */
    chooseSize(
        { decideMs, eachMs, validMs }: AdvicePolicy,
        workers: readonly AdviceWorker[],
        waitingTasks: number,
        isCrowded: boolean,
    ): number {
        const budgetMs = Math.min(validMs > 0 ? validMs * MAX_VALIDITY_SHARE : Infinity, MAX_SERVICE_MS);
        const cheap = eachMs > 0 ? decideMs / eachMs : MAX_WORKERS_PER_CALL;
        const affordable = eachMs > 0 ? Math.max((budgetMs - decideMs) / eachMs, cheap) : MAX_WORKERS_PER_CALL;
        const needed = countNeeded(workers, waitingTasks) * ROOM_FACTOR / this.permittedShare;
        const most = Math.min(MAX_WORKERS_PER_CALL, affordable) * this.sizeShare;
        return Math.max(1, Math.floor(Math.min(most, isCrowded ? needed : Math.max(needed, cheap))));
    }

    /** Notes a call that timed out: the next ones name half as many workers, as the service may be slower than stated. */
    noteTimeout(): void {
        this.sizeShare = Math.max(1 / MAX_WORKERS_PER_CALL, this.sizeShare / 2);
    }

    /** Notes a call that was answered. */
    noteAnswer(named: number, permitted: number): void {
        this.sizeShare = Math.min(1, this.sizeShare * 2);
        const share = this.permittedShare + (permitted / named - this.permittedShare) * NEWEST_WEIGHT;
        this.permittedShare = Math.max(MIN_PERMITTED_SHARE, share);
    }
}

/** Counts the first workers that have room for all tasks. One without room counts for one task, which may end soon. */
function countNeeded(workers: readonly AdviceWorker[], tasks: number): number {
    let covered = 0;
    let count = 0;
    while (covered < tasks && count < workers.length) {
        covered += Math.max(1, workers[count].room);
        count++;
    }
    return count;
}
