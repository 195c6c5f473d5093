import { WorkerTrust } from "@sardinestage/plan-starts";

/** A run that ended as done proves the worker for so long, in milliseconds: faults come within seconds. */
const PROVEN_MS = 5000;
/** A failed run makes the worker suspect for so long unless one succeeds, in milliseconds: longer than usual faults. */
const SUSPECT_MS = 10_000;

/** What the ends of a worker's recent runs tell about its soundness. */
export class RecentEnds {
    /** When the newest run was started that ended as done, in steady milliseconds. */
    provenAtMs = -Infinity;
    private lastDoneAtMs = -Infinity;
    private lastFailedAtMs = -Infinity;
    private hasFailedSinceDone = false;

    /**
     * Notes a run that ended as done. One that was started before the last failure tells nothing: a worker may fail all
     * that it starts while earlier runs end well.
     *
     * @returns Whether the run shows that the worker is sound.
     */
    noteDone(orderedAtMs: number, nowMs: number): boolean {
        const isTelling = orderedAtMs > this.lastFailedAtMs;
        if (isTelling) {
            this.lastDoneAtMs = nowMs;
            this.provenAtMs = Math.max(this.provenAtMs, orderedAtMs);
            this.hasFailedSinceDone = false;
        }
        return isTelling;
    }

    /** Notes a run that failed or made no progress. */
    noteFailed(nowMs: number): void {
        this.lastFailedAtMs = nowMs;
        this.hasFailedSinceDone = true;
    }

    /**
     * Withdraws failures that turned out not to be the worker's.
     *
     * @param lastFailedAtMs When the last other run failed, in steady milliseconds; undefined if none has.
     */
    withdrawFailures(lastFailedAtMs = -Infinity): void {
        this.lastFailedAtMs = Math.min(this.lastFailedAtMs, lastFailedAtMs);
        this.hasFailedSinceDone &&= this.lastFailedAtMs > this.lastDoneAtMs;
    }

    /** Estimates the soundness of the worker from these ends. */
    estimateTrust(nowMs: number): WorkerTrust {
        if (this.hasFailedSinceDone) {
            return nowMs - this.lastFailedAtMs <= SUSPECT_MS ? WorkerTrust.Suspect : WorkerTrust.Unknown;
        }
        return nowMs - this.lastDoneAtMs <= PROVEN_MS ? WorkerTrust.Proven : WorkerTrust.Unknown;
    }
}
