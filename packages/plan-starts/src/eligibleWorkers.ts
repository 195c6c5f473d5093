import type { RankedWorker } from "./rankedWorker.js";
import type { WorkerRanking } from "./workerRanking.js";

/** A shared ranking restricted to the workers that one step may use. Skipped workers stay skipped until `close`. */
export class EligibleWorkers {
    private readonly skipped: RankedWorker[] = [];

    constructor(
        private readonly ranking: WorkerRanking,
        private readonly isEligible: (entry: RankedWorker) => boolean,
    ) {}

    /** Removes the best worker that the step may use; undefined when none is left. */
    removeBest(): RankedWorker | undefined {
        let best = this.ranking.removeBest();
        while (best !== undefined && !this.isEligible(best)) {
            this.skipped.push(best);
            best = this.ranking.removeBest();
        }
        return best;
    }

    /** Returns a removed worker that got no task. */
    restore(entry: RankedWorker): void {
        this.ranking.restore(entry);
    }

    /** Returns the skipped workers to the ranking, for other steps. */
    close(): void {
        this.skipped.forEach(entry => this.ranking.restore(entry));
        this.skipped.length = 0;
    }
}
