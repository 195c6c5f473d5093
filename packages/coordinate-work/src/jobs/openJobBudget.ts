import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock } from "@sardinestage/describe-ports";
import type { JobOrigin } from "@sardinestage/describe-work";
import { SMALL_JOB_BYTES } from "@sardinestage/track-jobs";
import type { CountedJob } from "./countedJob.js";
import type { JobSize } from "./jobSize.js";
import { ReservedRoom } from "./reservedRoom.js";

/**
 * Jobs that aren't small use at most this share of the budget. What they take beyond it, because they were accepted without
 * a coordinator, doesn't count against smaller ones.
 */
const LARGE_JOBS_SHARE = 7 / 8;
/** Rooms for small jobs besides the budget, one for queues and one for addresses with few open jobs, as shares of it. */
const RESERVED_SHARE = 1 / 16;
/** Operators configure the queues, and few of them are in need at a time: one may take half of their room. */
const QUEUE_SHARE = 1;
/** A caller may have several addresses. */
const ADDRESS_SHARE = 1 / 16;
/** A job that was admitted and hasn't been read from the store after this time wasn't accepted, in milliseconds. */
const RESERVATION_MS = 15_000;

/**
 * Bounds the memory that open jobs take of a coordinator. Only new jobs are refused; whatever the store has is taken. A
 * queue or an address with few open jobs has room even when others have used up the budget.
 */
export class OpenJobBudget {
    private readonly open = new Map<string, CountedJob & { readonly steps: number }>();
    /** Jobs that were admitted and haven't been read yet, the oldest first. */
    private readonly reserved = new Map<string, CountedJob & { readonly atMs: number }>();
    private openBytes = 0;
    private openSteps = 0;
    /** Memory that open and reserved jobs take of the budget, by whether they are large, in bytes. */
    private readonly usedBytes = { small: 0, large: 0 };
    private readonly queueRoom: ReservedRoom;
    private readonly addressRoom: ReservedRoom;

    /**
     * @param parts The clock, and metrics that tell what open jobs take.
     * @param maxBytes The most that open jobs may take, reserved rooms aside, in bytes; undefined for no limit.
     */
    constructor(
        private readonly parts: { readonly clock: Clock; readonly metrics: Metrics },
        private readonly maxBytes?: number,
    ) {
        const reservedBytes = (maxBytes ?? Infinity) * RESERVED_SHARE;
        this.queueRoom = new ReservedRoom(reservedBytes, QUEUE_SHARE);
        this.addressRoom = new ReservedRoom(reservedBytes, ADDRESS_SHARE);
    }

    /** Memory that further jobs may take, reserved rooms aside, in bytes; undefined without a limit. */
    get freeBytes(): number | undefined {
        this.dropExpired();
        const { maxBytes } = this;
        return maxBytes === undefined ? undefined : Math.max(0, maxBytes - this.usedBytes.small - this.usedByLarge);
    }

    /** Sets the size of a job that was read from the store; undefined for one that has ended. */
    setSize(id: string, size: JobSize | undefined): void {
        const before = this.open.get(id);
        const admitted = this.reserved.get(id) ?? before;
        this.openBytes += (size?.bytes ?? 0) - (before?.bytes ?? 0);
        this.openSteps += (size?.steps ?? 0) - (before?.steps ?? 0);
        if (before !== undefined) {
            this.open.delete(id);
            this.countJob(before, -1);
        }
        if (size !== undefined) {
            this.releaseReservation(id);
            const { bytes, steps, queue = admitted?.origin.queue } = size;
            const job = { bytes, steps, origin: { queue, address: admitted?.origin.address }, room: admitted?.room };
            this.open.set(id, job);
            this.countJob(job, 1);
        }
        this.recordUsage(this.openSteps, this.openBytes);
    }

    /**
     * Admits a job that is about to be written to the store, if there is room for it.
     *
     * @param bytes Memory that the job would take, in bytes.
     * @param origin Where the job comes from.
     */
    tryReserving(id: string, bytes: number, origin: JobOrigin = {}): boolean {
        this.dropExpired();
        this.releaseReservation(id);
        const isWithinBudget = this.hasRoom(bytes);
        const room = isWithinBudget ? undefined : this.findReservedRoom(bytes, origin);
        if (!isWithinBudget && room === undefined) {
            return false;
        }
        const job = { bytes, origin, room, atMs: this.parts.clock.getNow() };
        this.reserved.set(id, job);
        this.countJob(job, 1);
        return true;
    }

    /** Tells that no jobs take memory here any more. */
    close(): void {
        this.recordUsage(0, 0);
    }

    /** Whether a job fits into the budget, reserved rooms aside. */
    private hasRoom(bytes: number): boolean {
        const { maxBytes = Infinity } = this;
        const { small, large } = this.usedBytes;
        const isSmall = bytes <= SMALL_JOB_BYTES;
        const usedBytes = small + (isSmall ? this.usedByLarge : large);
        return usedBytes + bytes <= (isSmall ? maxBytes : maxBytes * LARGE_JOBS_SHARE);
    }

    private findReservedRoom(bytes: number, { queue, address }: JobOrigin): ReservedRoom | undefined {
        if (bytes > SMALL_JOB_BYTES) {
            return undefined;
        }
        if (this.queueRoom.hasRoom(queue, bytes)) {
            return this.queueRoom;
        }
        return this.addressRoom.hasRoom(address, bytes) ? this.addressRoom : undefined;
    }

    /** What large jobs take of the part that smaller ones would use, in bytes. */
    private get usedByLarge(): number {
        return Math.min(this.usedBytes.large, (this.maxBytes ?? Infinity) * LARGE_JOBS_SHARE);
    }

    private countJob({ bytes, origin, room }: CountedJob, sign: number): void {
        if (room === undefined) {
            this.usedBytes[bytes <= SMALL_JOB_BYTES ? "small" : "large"] += sign * bytes;
        }
        else {
            room.holdBytes(sign * bytes);
        }
        this.queueRoom.noteBytes(origin.queue, sign * bytes);
        this.addressRoom.noteBytes(origin.address, sign * bytes);
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
        const job = this.reserved.get(id);
        if (job !== undefined) {
            this.reserved.delete(id);
            this.countJob(job, -1);
        }
    }
}
