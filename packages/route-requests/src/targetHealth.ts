interface Health {
    latencyMs: number;
    consecutiveFailures: number;
    probationUntilMs: number;
    probationMs: number;
}

/** Weight of the newest latency in the moving average. */
const LATENCY_SMOOTHING_FACTOR = 0.2;
const FAILURES_UNTIL_PROBATION = 2;
const MAX_PROBATION_MS = 60_000;
/** Latency assumed for a target that has not answered yet. */
const INITIAL_LATENCY_MS = 1;

/** Latency and failures of one target, as seen by this entry. */
export class TargetHealth {
    private readonly health: Health;

    /** @param firstProbationMs Length of the first probation. It doubles with each further failure, up to 60 s. */
    constructor(private readonly firstProbationMs: number) {
        this.health = {
            latencyMs: INITIAL_LATENCY_MS,
            consecutiveFailures: 0,
            probationUntilMs: 0,
            probationMs: firstProbationMs,
        };
    }

    /** Records an answer, which ends a probation. */
    recordAnswer(latencyMs: number): void {
        const { health } = this;
        health.latencyMs += LATENCY_SMOOTHING_FACTOR * (latencyMs - health.latencyMs);
        health.consecutiveFailures = 0;
        health.probationUntilMs = 0;
        health.probationMs = this.firstProbationMs;
    }

    /** Records a failure. From the second consecutive failure on, each one starts a probation. */
    recordFailure(nowMs: number): void {
        const { health } = this;
        health.consecutiveFailures++;
        if (health.consecutiveFailures >= FAILURES_UNTIL_PROBATION) {
            health.probationUntilMs = nowMs + health.probationMs;
            health.probationMs = Math.min(MAX_PROBATION_MS, health.probationMs * 2);
        }
    }

    /** Returns the moving average of latencies, in milliseconds. */
    getLatencyMs(): number {
        return this.health.latencyMs;
    }

    /** Whether the target is on probation and should be skipped. */
    isOnProbation(nowMs: number): boolean {
        return nowMs < this.health.probationUntilMs;
    }
}
