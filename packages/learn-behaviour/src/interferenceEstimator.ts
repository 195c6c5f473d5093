import { RecentSamples } from "./recentSamples.js";

const LEARNING_RATE = 0.3;
const MAX_LATENCY_SAMPLES = 200;
/** Low quantile of a service's latencies that counts as its latency without neighbours, where they slow it least. */
const BASELINE_QUANTILE = 0.1;

interface PairEstimate {
    interference: number;
    observations: number;
}

/**
 * Learns how much a task of one class slows down a service of another class on the same worker, from lagging latency
 * reports. The slowdown relative to the latency without neighbours is modelled as the sum over the neighbours, which is
 * fitted by normalised least mean squares.
 */
export class InterferenceEstimator {
    private readonly pairs = new Map<string, PairEstimate>();
    private readonly latencies = new Map<string, RecentSamples>();

    /** @param priorInterference Expected slowdown for a pair that was never measured together. */
    constructor(private readonly priorInterference: number) {}

    /**
     * Learns from a latency report.
     *
     * @param service Class of the service.
     * @param neighbours Classes of the tasks on the same worker during the measurement, one entry per task.
     * @param latencyMs Mean latency, in milliseconds.
     */
    learnLatency(service: string, neighbours: readonly string[], latencyMs: number): void {
        const latencies = this.latencies.get(service) ?? new RecentSamples(MAX_LATENCY_SAMPLES);
        latencies.add(latencyMs);
        this.latencies.set(service, latencies);
        const observed = this.computeSlowdown(service, latencyMs) - 1;
        const predicted = neighbours.reduce((sum, other) => sum + this.estimateInterference(service, other), 0);
        const step = LEARNING_RATE * (observed - predicted) / Math.max(1, neighbours.length);
        for (const other of neighbours) {
            const pair = this.getPair(service, other);
            pair.interference = Math.max(0, pair.interference + step);
            pair.observations++;
        }
    }

    /** Returns the latency divided by the latency without neighbours; 1 while the latter is unknown. */
    computeSlowdown(service: string, latencyMs: number): number {
        const baseline = this.latencies.get(service)?.computeQuantile(BASELINE_QUANTILE);
        return baseline === undefined || baseline === 0 ? 1 : latencyMs / baseline;
    }

    /** Estimates the slowdown of a service by one neighbour, as a share of its latency without neighbours. */
    estimateInterference(service: string, other: string): number {
        return this.pairs.get(createKey(service, other))?.interference ?? this.priorInterference;
    }

    /** Returns how often a pair was measured together. */
    getObservationCount(service: string, other: string): number {
        return this.pairs.get(createKey(service, other))?.observations ?? 0;
    }

    private getPair(service: string, other: string): PairEstimate {
        const key = createKey(service, other);
        const pair = this.pairs.get(key) ?? { interference: this.priorInterference, observations: 0 };
        this.pairs.set(key, pair);
        return pair;
    }
}

function createKey(service: string, other: string): string {
    return `${service}\n${other}`;
}
