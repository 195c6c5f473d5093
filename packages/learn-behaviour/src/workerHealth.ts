/** Decayed counts of a worker's attempts, and its probation. */
interface AttemptRecord {
    successes: number;
    failures: number;
    probationUntilMs: number;
    probationMs: number;
}

/** Factor by which older attempts lose weight at each new one. */
const DECAY_PER_ATTEMPT = 0.9;
const MIN_FAILURES = 3;
/** A worker is suspect when its share of failures is more than this multiple of its peers' share. */
const MIN_PEER_RATIO = 3;
const MIN_FAILURE_SHARE = 0.5;
const FIRST_PROBATION_MS = 10_000;
const MAX_PROBATION_MS = 600_000;

/** Detects workers on which attempts fail that succeed on their peers. */
export class WorkerHealth {
    private readonly records = new Map<string, AttemptRecord>();

    /** Records the end of an attempt; a success ends the worker's probation, repeated failures start or double it. */
    recordEnd(worker: string, succeeded: boolean, nowMs: number): void {
        const record = this.records.get(worker)
            ?? { successes: 0, failures: 0, probationUntilMs: 0, probationMs: FIRST_PROBATION_MS };
        this.records.set(worker, record);
        record.successes = record.successes * DECAY_PER_ATTEMPT + (succeeded ? 1 : 0);
        record.failures = record.failures * DECAY_PER_ATTEMPT + (succeeded ? 0 : 1);
        if (succeeded) {
            record.probationUntilMs = 0;
            record.probationMs = FIRST_PROBATION_MS;
        }
        else if (this.isSuspect(worker, record)) {
            record.probationUntilMs = nowMs + record.probationMs;
            record.probationMs = Math.min(MAX_PROBATION_MS, record.probationMs * 2);
        }
    }

    /** Whether a worker gets no tasks for now. */
    isExcluded(worker: string, nowMs: number): boolean {
        return (this.records.get(worker)?.probationUntilMs ?? 0) > nowMs;
    }

    /** Whether a worker hasn't succeeded since its exclusion and gets one task at a time. */
    isOnProbation(worker: string): boolean {
        return (this.records.get(worker)?.probationUntilMs ?? 0) > 0;
    }

    /** Compares a worker's failures with its peers' failures: a job that fails everywhere isn't a worker's fault. */
    private isSuspect(worker: string, record: AttemptRecord): boolean {
        const share = record.failures / (record.failures + record.successes);
        if (record.failures < MIN_FAILURES * DECAY_PER_ATTEMPT ** MIN_FAILURES || share < MIN_FAILURE_SHARE) {
            return false;
        }
        const peers = [...this.records].filter(([name]) => name !== worker).map(([, each]) => each);
        const failures = peers.reduce((sum, each) => sum + each.failures, 0);
        const total = peers.reduce((sum, each) => sum + each.failures + each.successes, 0);
        return total > 0 && share > MIN_PEER_RATIO * (failures / total);
    }
}
