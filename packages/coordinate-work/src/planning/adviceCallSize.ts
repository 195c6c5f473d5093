import type { AdvicePolicy } from "@sardinestage/describe-work";

/** The most workers that one call names: the advice service takes longer for each. */
const MAX_WORKERS_PER_CALL = 30;
/** Part of a ticket's validity that a call may take, so that most of it is left when the tickets arrive. */
const MAX_VALIDITY_SHARE = 1 / 4;
/** Longest time that a call should take, in milliseconds, since all other steps wait for it. */
const MAX_SERVICE_MS = 1000;

/** Chooses how many workers a call to the advice service names. */
export class AdviceCallSize {
    /** Part of the size that is used; below 1 after calls that timed out. */
    private share = 1;

    /** Chooses the number. What a call costs beside the workers is spent in any case, so they may cost as much again. */
    chooseSize({ decideMs, eachMs, validMs }: AdvicePolicy): number {
        const budgetMs = Math.min(validMs > 0 ? validMs * MAX_VALIDITY_SHARE : Infinity, MAX_SERVICE_MS);
        const affordable = eachMs > 0 ? Math.max(budgetMs - decideMs, decideMs) / eachMs : MAX_WORKERS_PER_CALL;
        return Math.max(1, Math.floor(Math.min(MAX_WORKERS_PER_CALL, affordable) * this.share));
    }

    /** Notes a call that timed out: the next ones name half as many workers, as the service may be slower than stated. */
    noteTimeout(): void {
        this.share = Math.max(1 / MAX_WORKERS_PER_CALL, this.share / 2);
    }

    /** Notes a call that was answered. */
    noteAnswer(): void {
        this.share = Math.min(1, this.share * 2);
    }
}
