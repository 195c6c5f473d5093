import type { Clock } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";

/** Maximum number of jobs in each map: a few minutes of jobs in a large installation, and at most a megabyte. */
const MAX_JOBS_PER_KIND = 5000;

/**
 * How long a job's last known state may be shown without asking the store after all facts were known, in milliseconds:
 * while the coordinator is replaced no job ends, and a VM that alone doesn't reach it shows an end this much later.
 */
const CURRENT_FOR_MS = 3000;

/**
 * Caches facts about jobs whose records this VM has seen in the store, or that the coordinator has told it of. Evicts
 * the oldest job of each kind first.
 */
export class JobStateCache {
    private readonly finalStates = new Map<string, JobState>();
    private readonly acceptedAtMs = new Map<string, number>();
    private readonly started = new Map<string, true>();
    private currentAtMs = -Infinity;
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

    /**
     * Returns the last known state of a job that was certainly accepted; undefined for other jobs. Only a final state is
     * certainly the newest.
     */
    findLastState(id: string): JobState | undefined {
        const finalState = this.finalStates.get(id);
        if (finalState !== undefined) {
            return finalState;
        }
        if (this.started.has(id)) {
            return JobState.Running;
        }
        return this.acceptedAtMs.has(id) ? JobState.Queued : undefined;
    }

    /**
     * Returns the last known state of an accepted job if all facts were known here a short time ago. Undefined if they
     * weren't, and for a job with a cancellation, which may have ended it.
     */
    findCurrentState(id: string): JobState | undefined {
        const isCurrent = this.clock.getNow() - this.currentAtMs < CURRENT_FOR_MS;
        return isCurrent && !this.isCancelled(id) ? this.findLastState(id) : undefined;
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
        this.acceptedAtMs.delete(id);
        this.started.delete(id);
    }

    /** Notes that a job's record is in the store. */
    noteAccepted(id: string): void {
        if (!this.finalStates.has(id)) {
            rememberJob(this.acceptedAtMs, id, this.clock.getNow());
        }
    }

    /** Notes that a task of an accepted job has run. */
    noteStarted(id: string): void {
        if (!this.finalStates.has(id)) {
            rememberJob(this.started, id, true);
        }
    }

    /** Notes the state of an accepted job; a final state only if it is in the store. */
    noteState(id: string, state: JobState): void {
        switch (state) {
            case JobState.Queued:
                this.noteAccepted(id);
                break;
            case JobState.Running:
                this.noteAccepted(id);
                this.noteStarted(id);
                break;
            default:
                this.noteFinalState(id, state);
        }
    }

    /**
     * Notes that all facts that the coordinator had at a time are known here.
     *
     * @param atMs The time, in steady milliseconds.
     */
    noteCurrent(atMs: number): void {
        this.currentAtMs = Math.max(this.currentAtMs, atMs);
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
