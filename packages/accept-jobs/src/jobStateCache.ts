import type { Clock } from "@sardinestage/describe-ports";
import type { JobState } from "@sardinestage/describe-work";

/** Maximum number of jobs in each map: a few minutes of jobs in a large installation, and at most a megabyte. */
const MAX_JOBS_PER_KIND = 5000;

/** Caches facts about jobs whose records this VM has seen in the store. Evicts the oldest job first. */
export class JobStateCache {
    private readonly finalStates = new Map<string, JobState>();
    private readonly acceptedAtMs = new Map<string, number>();
    private readonly cancelled = new Map<string, true>();

    /**
     * @param keepMs How long a job's progress is stored after its end, in milliseconds. During the first half of this
     * time an accepted job without progress is certainly waiting; later its progress may already have been deleted.
     */
    constructor(private readonly clock: Clock, private readonly keepMs: number) {}

    /** Returns the final state of a job whose end was seen in the store; undefined for other jobs. */
    findFinalState(id: string): JobState | undefined {
        return this.finalStates.get(id);
    }

    /** Whether a job's record was seen recently enough that its progress, if there was any, would still be stored. */
    isAccepted(id: string): boolean {
        const atMs = this.acceptedAtMs.get(id);
        return atMs !== undefined && this.clock.getNow() - atMs < this.keepMs / 2;
    }

    /** Whether a job's cancellation was seen in the store. */
    isCancelled(id: string): boolean {
        return this.cancelled.has(id);
    }

    /** Notes that a job's final state is in the store. */
    noteFinalState(id: string, state: JobState): void {
        rememberJob(this.finalStates, id, state);
    }

    /** Notes that a job's record is in the store. */
    noteAccepted(id: string): void {
        rememberJob(this.acceptedAtMs, id, this.clock.getNow());
    }

    /** Notes that a job's cancellation is in the store. */
    noteCancelled(id: string): void {
        rememberJob(this.cancelled, id, true);
    }
}

function rememberJob<T>(jobs: Map<string, T>, id: string, value: T): void {
    jobs.delete(id);
    jobs.set(id, value);
    if (jobs.size > MAX_JOBS_PER_KIND) {
        for (const oldest of jobs.keys()) {
            jobs.delete(oldest);
            break;
        }
    }
}
