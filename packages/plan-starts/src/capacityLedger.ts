import type { StepRun } from "@sardinestage/track-jobs";
import { allocateCapacity } from "./allocateCapacity.js";
import type { ReservationPlanner } from "./reservationPlanner.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** The workers of a planning round and a log of their capacity changes, so that only changed workers are rescored. */
export class CapacityLedger {
    private readonly versions: Uint32Array;
    private readonly changedIndices: number[] = [];

    /**
     * @param workers Free capacity of the workers.
     * @param reservations Plans reserved starts; undefined if capacity isn't planned ahead.
     */
    constructor(readonly workers: readonly WorkerCapacity[], private readonly reservations?: ReservationPlanner) {
        this.versions = new Uint32Array(workers.length);
    }

    /** Number of capacity changes in this round. */
    get changeCount(): number {
        return this.changedIndices.length;
    }

    /** Subtracts one task of a step from a worker's free capacity. */
    allocate(index: number, step: StepRun): void {
        allocateCapacity(this.workers[index], step);
        this.reservations?.notePlanned(this.workers[index], step);
        this.noteChange(index);
    }

    /** Closes a worker on which capacity is being freed: nothing further is planned there in this round. */
    close(index: number): void {
        this.workers[index].startsLeft = 0;
        this.noteChange(index);
    }

    /** Reserves a worker until its present work ends: only interrupted long-running tasks still start there in this round. */
    reserve(index: number): void {
        this.workers[index].isReserved = true;
        this.noteChange(index);
    }

    /** Returns how often a worker's capacity has changed. */
    getVersion(index: number): number {
        return this.versions[index];
    }

    /** Returns the index of the worker that the change at a position of the log affected. */
    getChangedIndex(position: number): number {
        return this.changedIndices[position];
    }

    /** Notes that a worker has to be scored again. */
    noteChange(index: number): void {
        this.versions[index]++;
        this.changedIndices.push(index);
    }
}
