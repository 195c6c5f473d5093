/** Where a run failed: on which worker, and how often the worker had proved sound by then. */
interface FailurePlace {
    readonly workerId: string;
    readonly proofCount: number;
}

/** The failures on one worker. */
interface FailuresThere {
    readonly proofCount: number;
    /** How many failures the worker has seen with another proof that it is sound before each. */
    readonly placeCount: number;
    readonly failedAtMs: number;
}

/** Older failures tell nothing any more, in milliseconds. */
const FAILURE_KEPT_MS = 30_000;
/** The most workers that are remembered; those where the last failure is the oldest are forgotten. */
const MAX_WORKERS = 256;
/** A run that works for this many times as long as the failed ones did shows that runs can succeed. */
const OUTLIVED_FACTOR = 2;
const MIN_OUTLIVED_MS = 1000;
const MAX_OUTLIVED_MS = 10_000;

/**
 * The failed runs of a task, or of all tasks of a step, since the last one that succeeded. Failures on several workers
 * say that the runs fail wherever they are tried. So do failures on one worker that proved sound in between.
 */
export class FailureEvidence {
    /** By the worker's id; the worker with the oldest last failure first. */
    private readonly workers = new Map<string, FailuresThere>();
    private longestRunMs = 0;
    /** Whether runs fail wherever they are tried, so that their failures say nothing about a worker. */
    failsEverywhere = false;

    /** The number of places at which runs have failed. */
    get placeCount(): number {
        return [...this.workers.values()].reduce((sum, { placeCount }) => sum + placeCount, 0);
    }

    /**
     * Adds a failed run.
     *
     * @param place Where it failed.
     * @param ranMs How long the run had been active, in milliseconds.
     * @param nowMs Steady milliseconds.
     */
    addFailure({ workerId, proofCount }: FailurePlace, ranMs: number, nowMs: number): void {
        const known = this.workers.get(workerId);
        const isNewPlace = known === undefined || known.proofCount !== proofCount;
        const placeCount = (known?.placeCount ?? 0) + Number(isNewPlace);
        this.workers.delete(workerId);
        this.workers.set(workerId, { proofCount, placeCount, failedAtMs: nowMs });
        this.longestRunMs = Math.max(this.longestRunMs, ranMs);
        for (const [oldest, { failedAtMs }] of this.workers) {
            if (this.workers.size <= MAX_WORKERS && nowMs - failedAtMs <= FAILURE_KEPT_MS) {
                break;
            }
            this.workers.delete(oldest);
        }
    }

    /** Whether a run has failed on a worker. */
    hasFailedOn(workerId: string): boolean {
        return this.workers.has(workerId);
    }

    /** How long a run has to work to show that runs can succeed, in milliseconds. */
    get outlivedMs(): number {
        return Math.min(MAX_OUTLIVED_MS, Math.max(MIN_OUTLIVED_MS, this.longestRunMs * OUTLIVED_FACTOR));
    }
}
