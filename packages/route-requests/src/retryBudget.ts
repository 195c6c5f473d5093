const BURST = 10;

/** Bounds retries and hedges to a share of first tries, so that a failing fleet is not hit harder. */
export class RetryBudget {
    private left = BURST;

    /** @param share Retries allowed for each first try. */
    constructor(private readonly share: number) {}

    /** Counts a first try. */
    recordFirstTry(): void {
        this.left = Math.min(BURST, this.left + this.share);
    }

    /** Takes one retry, if the budget has it. */
    tryAcquire(): boolean {
        if (this.left < 1) {
            return false;
        }
        this.left--;
        return true;
    }
}
