import { RecentSamples } from "./recentSamples.js";

const LEARNING_RATE = 0.3;
const KEPT_LATENCIES = 200;
/** The latency alone is read at this low quantile, where neighbours hurt least. */
const ALONE_QUANTILE = 0.1;

interface PairEstimate {
    harm: number;
    observations: number;
}

/**
 * Learns how much a task of one class slows a service of another down on the same worker, from lagging reports of
 * latency: the slow-down over the service alone is taken as the sum over its neighbours (normalised least squares).
 */
export class InterferenceEstimator {
    private readonly pairs = new Map<string, PairEstimate>();
    private readonly latencies = new Map<string, RecentSamples>();

    /** @param priorHarm Expected of a pair that was never seen together. */
    constructor(private readonly priorHarm: number) {}

    /**
     * Takes a report.
     *
     * @param service Class of the service.
     * @param neighbours Classes of the tasks that ran beside it when it was measured, with repetition.
     * @param latencyMs Mean latency.
     */
    learnLatency(service: string, neighbours: readonly string[], latencyMs: number): void {
        const latencies = this.latencies.get(service) ?? new RecentSamples(KEPT_LATENCIES);
        latencies.add(latencyMs);
        this.latencies.set(service, latencies);
        const observed = this.computeSlowdown(service, latencyMs) - 1;
        const predicted = neighbours.reduce((sum, other) => sum + this.estimateHarm(service, other), 0);
        const step = LEARNING_RATE * (observed - predicted) / Math.max(1, neighbours.length);
        for (const other of neighbours) {
            const pair = this.getPair(service, other);
            pair.harm = Math.max(0, pair.harm + step);
            pair.observations++;
        }
    }

    /** Latency over latency alone, as far as it is known. */
    computeSlowdown(service: string, latencyMs: number): number {
        const alone = this.latencies.get(service)?.computeQuantile(ALONE_QUANTILE);
        return alone === undefined || alone === 0 ? 1 : latencyMs / alone;
    }

    /** Expected slow-down of a service by one neighbour, as a share of its latency alone. */
    estimateHarm(service: string, other: string): number {
        return this.pairs.get(createKey(service, other))?.harm ?? this.priorHarm;
    }

    /** How often a pair was seen together. */
    getObservations(service: string, other: string): number {
        return this.pairs.get(createKey(service, other))?.observations ?? 0;
    }

    private getPair(service: string, other: string): PairEstimate {
        const key = createKey(service, other);
        const pair = this.pairs.get(key) ?? { harm: this.priorHarm, observations: 0 };
        this.pairs.set(key, pair);
        return pair;
    }
}

function createKey(service: string, other: string): string {
    return `${service}\n${other}`;
}
