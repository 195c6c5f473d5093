import type { Clock } from "@sardinestage/describe-ports";
import type { JobState } from "@sardinestage/describe-work";

/** Jobs that are remembered of each kind: some minutes' worth at the rates of a large installation, a megabyte at most. */
const MOST_JOBS = 5000;

/** What this VM knows of jobs for certain, because it saw the records; the oldest is forgotten first. */
export class JobLedger {
    private readonly ended = new Map<string, JobState>();
    private readonly acceptedAtMs = new Map<string, number>();
    private readonly cancelled = new Map<string, true>();

    /**
     * @param keepMs How long a job's progress is stored after its end, in milliseconds. For half of it an accepted job
     * without progress is known to wait; later its progress may be gone.
     */
    constructor(private readonly clock: Clock, private readonly keepMs: number) {}

    /** The state of a job whose end was seen in the store; it never changes again. */
    findEnd(id: string): JobState | undefined {
        return this.ended.get(id);
    }

    /** Whether a job's record was seen so lately that its progress, if it had any, would still be stored. */
    isAccepted(id: string): boolean {
        const atMs = this.acceptedAtMs.get(id);
        return atMs !== undefined && this.clock.getNow() - atMs < this.keepMs / 2;
    }

    /** Whether a job's cancellation was seen in the store. */
    isCancelled(id: string): boolean {
        return this.cancelled.has(id);
    }

    /** Notes that a job's end is in the store. */
    noteEnd(id: string, state: JobState): void {
        remember(this.ended, id, state);
    }

    /** Notes that a job's record is in the store. */
    noteAccepted(id: string): void {
        remember(this.acceptedAtMs, id, this.clock.getNow());
    }

    /** Notes that a job's cancellation is in the store. */
    noteCancelled(id: string): void {
        remember(this.cancelled, id, true);
    }
}

function remember<T>(known: Map<string, T>, id: string, value: T): void {
    known.delete(id);
    known.set(id, value);
    if (known.size > MOST_JOBS) {
        for (const oldest of known.keys()) {
            known.delete(oldest);
            break;
        }
    }
}
