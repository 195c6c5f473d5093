import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock } from "@sardinestage/describe-ports";
import { SMALL_JOB_BYTES } from "@sardinestage/track-jobs";
import type { JobSize } from "./jobSize.js";

/**
 * Jobs that aren't small use at most this share of the budget. What they take beyond it, because they were accepted without
 * a coordinator, doesn't count against smaller ones.
 */
const LARGE_JOBS_SHARE = 7 / 8;
/** A job that was admitted and hasn't been read from the store after this time wasn't accepted, in milliseconds. */
const RESERVATION_MS = 15_000;

/** Bounds the memory that open jobs take of a coordinator. Only new jobs are refused; whatever the store has is taken. */
export class OpenJobBudget {
    private readonly open = new Map<string, JobSize>();
    /** Jobs that were admitted and haven't been read yet, the oldest first. */
    private readonly reserved = new Map<string, { readonly bytes: number; readonly atMs: number }>();
    private openBytes = 0;
    private openSteps = 0;
    /** Memory that open and reserved jobs take, by whether they are large, in bytes. */
    private readonly usedBytes = { small: 0, large: 0 };

    /**
     * @param parts The clock, and metrics that tell what open jobs take.
     * @param maxBytes The most that open jobs may take, in bytes; undefined for no limit.
     */
    constructor(
        private readonly parts: { readonly clock: Clock; readonly metrics: Metrics },
        private readonly maxBytes?: number,
    ) {}

    /** Memory that further jobs may take, in bytes; undefined without a limit. */
    get freeBytes(): number | undefined {
        this.dropExpired();
        const { maxBytes } = this;
        return maxBytes === undefined ? undefined : Math.max(0, maxBytes - this.usedBytes.small - this.usedByLarge);
    }

    /** Sets the size of a job that was read from the store; undefined for one that has ended. */
    setSize(id: string, size: JobSize | undefined): void {
        const before = this.open.get(id);
        this.openBytes += (size?.bytes ?? 0) - (before?.bytes ?? 0);
        this.addUsed(before?.bytes ?? 0, -1);
        this.addUsed(size?.bytes ?? 0, 1);
        this.openSteps += (size?.steps ?? 0) - (before?.steps ?? 0);
        if (size === undefined) {
            this.open.delete(id);
        }
        else {
            this.open.set(id, size);
            this.releaseReservation(id);
        }
        this.recordUsage(this.openSteps, this.openBytes);
    }

    /**
     * Admits a job that is about to be written to the store, if there is room for it.
     *
     * @param bytes Memory that the job would take, in bytes.
     */
    tryReserving(id: string, bytes: number): boolean {
        const { maxBytes = Infinity } = this;
        this.dropExpired();
        this.releaseReservation(id);
        const { small, large } = this.usedBytes;
        const isSmall = bytes <= SMALL_JOB_BYTES;
        const usedBytes = small + (isSmall ? this.usedByLarge : large);
        if (usedBytes + bytes > (isSmall ? maxBytes : maxBytes * LARGE_JOBS_SHARE)) {
            return false;
        }
        this.reserved.set(id, { bytes, atMs: this.parts.clock.getNow() });
        this.addUsed(bytes, 1);
        return true;
    }

    /** Tells that no jobs take memory here any more. */
    close(): void {
        this.recordUsage(0, 0);
    }

    /** What large jobs take of the part that smaller ones would use, in bytes. */
    private get usedByLarge(): number {
        return Math.min(this.usedBytes.large, (this.maxBytes ?? Infinity) * LARGE_JOBS_SHARE);
    }

    private addUsed(bytes: number, sign: number): void {
        this.usedBytes[bytes <= SMALL_JOB_BYTES ? "small" : "large"] += sign * bytes;
    }

    private recordUsage(steps: number, bytes: number): void {
        this.parts.metrics.setGauge("open_job_steps", steps);
        this.parts.metrics.setGauge("open_job_bytes", bytes);
    }

    private dropExpired(): void {
        const oldestMs = this.parts.clock.getNow() - RESERVATION_MS;
        for (const [id, { atMs }] of this.reserved) {
            if (atMs > oldestMs) {
                return;
            }
            this.releaseReservation(id);
        }
    }

    private releaseReservation(id: string): void {
        this.addUsed(this.reserved.get(id)?.bytes ?? 0, -1);
        this.reserved.delete(id);
    }
}
