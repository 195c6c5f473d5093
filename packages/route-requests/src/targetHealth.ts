interface Health {
    latencyMs: number;
    consecutiveFailures: number;
    probationUntilMs: number;
    probationMs: number;
}

const SMOOTHING = 0.2;
const FAILURES_UNTIL_PROBATION = 2;
const MAX_PROBATION_MS = 60_000;
/** Assumed of a target that has answered nothing yet. */
const FIRST_LATENCY_MS = 1;

/** What this entry has seen of one target. */
export class TargetHealth {
    private readonly health: Health;

    /** @param firstProbationMs First length of a probation; it doubles as failures go on. */
    constructor(private readonly firstProbationMs: number) {
        this.health = {
            latencyMs: FIRST_LATENCY_MS,
            consecutiveFailures: 0,
            probationUntilMs: 0,
            probationMs: firstProbationMs,
        };
    }

    /** Takes an answer. */
    recordAnswer(latencyMs: number): void {
        const { health } = this;
        health.latencyMs += SMOOTHING * (latencyMs - health.latencyMs);
        health.consecutiveFailures = 0;
        health.probationUntilMs = 0;
        health.probationMs = this.firstProbationMs;
    }

    /** Takes a failure. */
    recordFailure(nowMs: number): void {
        const { health } = this;
        health.consecutiveFailures++;
        if (health.consecutiveFailures >= FAILURES_UNTIL_PROBATION) {
            health.probationUntilMs = nowMs + health.probationMs;
            health.probationMs = Math.min(MAX_PROBATION_MS, health.probationMs * 2);
        }
    }

    /** Smoothed time to an answer. */
    getLatencyMs(): number {
        return this.health.latencyMs;
    }

    /** Whether the target is passed over for now. */
    isOnProbation(nowMs: number): boolean {
        return nowMs < this.health.probationUntilMs;
    }
}
