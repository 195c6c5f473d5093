interface Record {
    successes: number;
    failures: number;
    probationUntilMs: number;
    probationMs: number;
}

const DECAY = 0.9;
const MIN_FAILURES = 3;
/** A worker is suspect when its share of failures is so many times that of its peers. */
const PEER_RATIO = 3;
const MIN_FAILURE_SHARE = 0.5;
const FIRST_PROBATION_MS = 10_000;
const MAX_PROBATION_MS = 600_000;

/** Finds workers that fail what their peers can do. */
export class WorkerHealth {
    private readonly records = new Map<string, Record>();

    /** Takes the end of an attempt. */
    recordEnd(worker: string, succeeded: boolean, nowMs: number): void {
        const record = this.records.get(worker)
            ?? { successes: 0, failures: 0, probationUntilMs: 0, probationMs: FIRST_PROBATION_MS };
        this.records.set(worker, record);
        record.successes = record.successes * DECAY + (succeeded ? 1 : 0);
        record.failures = record.failures * DECAY + (succeeded ? 0 : 1);
        if (succeeded) {
            record.probationUntilMs = 0;
            record.probationMs = FIRST_PROBATION_MS;
        }
        else if (this.isSuspect(worker, record)) {
            record.probationUntilMs = nowMs + record.probationMs;
            record.probationMs = Math.min(MAX_PROBATION_MS, record.probationMs * 2);
        }
    }

    /** Whether a worker takes nothing for now. */
    isExcluded(worker: string, nowMs: number): boolean {
        return (this.records.get(worker)?.probationUntilMs ?? 0) > nowMs;
    }

    /** Whether a worker comes back by one task at a time. */
    isOnProbation(worker: string): boolean {
        return (this.records.get(worker)?.probationUntilMs ?? 0) > 0;
    }

    /** A job that fails everywhere says nothing about one worker, so failures are held against the peers'. */
    private isSuspect(worker: string, record: Record): boolean {
        const share = record.failures / (record.failures + record.successes);
        if (record.failures < MIN_FAILURES * DECAY ** MIN_FAILURES || share < MIN_FAILURE_SHARE) {
            return false;
        }
        const peers = [...this.records].filter(([name]) => name !== worker).map(([, each]) => each);
        const failures = peers.reduce((sum, each) => sum + each.failures, 0);
        const total = peers.reduce((sum, each) => sum + each.failures + each.successes, 0);
        return total > 0 && share > PEER_RATIO * (failures / total);
    }
}
