/** Most retries that can be saved up. */
const MAX_BURST_RETRIES = 10;

/** Limits retries and hedges to a share of first tries, so that retries don't overload targets that already fail. */
export class RetryBudget {
    private remainingRetries = MAX_BURST_RETRIES;

    /** @param share Retries allowed per first try. */
    constructor(private readonly share: number) {}

    /** Counts a first try, which adds its share of a retry to the budget. */
    recordFirstTry(): void {
        this.remainingRetries = Math.min(MAX_BURST_RETRIES, this.remainingRetries + this.share);
    }

    /** Takes one retry from the budget. Returns whether there was one. */
    tryAcquire(): boolean {
        if (this.remainingRetries < 1) {
            return false;
        }
        this.remainingRetries--;
        return true;
    }
}
