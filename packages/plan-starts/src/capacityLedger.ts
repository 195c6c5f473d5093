import type { StepRun } from "@sardinestage/track-jobs";
import { takeRoom } from "./takeRoom.js";
import type { WorkerRoom } from "./workerRoom.js";

/** The rooms of a round, and which of them were taken from, so that only these are judged again. */
export class CapacityLedger {
    private readonly versions: Uint32Array;
    private readonly changedIndices: number[] = [];

    constructor(readonly workers: readonly WorkerRoom[]) {
        this.versions = new Uint32Array(workers.length);
    }

    /** How many times something was taken in this round. */
    get changeCount(): number {
        return this.changedIndices.length;
    }

    /** Takes one task's share from a room. */
    allocate(index: number, step: StepRun): void {
        takeRoom(this.workers[index], step);
        this.noteChange(index);
    }

    /** Keeps a room: it gets no further start in this round. */
    reserve(index: number): void {
        this.workers[index].startsLeft = 0;
        this.noteChange(index);
    }

    /** How often a room was taken from. */
    getVersion(index: number): number {
        return this.versions[index];
    }

    /** Which room was taken from at a position in the round's course. */
    getChangedIndex(position: number): number {
        return this.changedIndices[position];
    }

    private noteChange(index: number): void {
        this.versions[index]++;
        this.changedIndices.push(index);
    }
}
