import type { RankedWorker } from "./rankedWorker.js";
import type { WorkerRanking } from "./workerRanking.js";

/** A ranking as one step sees it, which may not use every room; a room once passed over stays so for the step. */
export class EligibleWorkers {
    private readonly skipped: RankedWorker[] = [];

    constructor(
        private readonly ranking: WorkerRanking,
        private readonly isEligible: (entry: RankedWorker) => boolean,
    ) {}

    /** Takes the best room out that the step may use. */
    removeBest(): RankedWorker | undefined {
        let best = this.ranking.removeBest();
        while (best !== undefined && !this.isEligible(best)) {
            this.skipped.push(best);
            best = this.ranking.removeBest();
        }
        return best;
    }

    /** Puts a room back that was taken out and not used. */
    restore(entry: RankedWorker): void {
        this.ranking.restore(entry);
    }

    /** Gives the rooms that were passed over back to the other steps. */
    close(): void {
        this.skipped.forEach(entry => this.ranking.restore(entry));
        this.skipped.length = 0;
    }
}
