import type { StepRun } from "@sardinestage/track-jobs";
import { takeRoom } from "./takeRoom.js";
import type { WorkerRoom } from "./workerRoom.js";

/** The rooms of a round, and which of them were taken from, so that only these are judged again. */
export class RoomLedger {
    private readonly versions: Uint32Array;
    private readonly taken: number[] = [];

    constructor(readonly rooms: readonly WorkerRoom[]) {
        this.versions = new Uint32Array(rooms.length);
    }

    /** How many times something was taken in this round. */
    get takenCount(): number {
        return this.taken.length;
    }

    /** Takes one task's share from a room. */
    take(index: number, step: StepRun): void {
        takeRoom(this.rooms[index], step);
        this.noteTaken(index);
    }

    /** Keeps a room: it gets no further start in this round. */
    reserve(index: number): void {
        this.rooms[index].startsLeft = 0;
        this.noteTaken(index);
    }

    /** How often a room was taken from. */
    getVersion(index: number): number {
        return this.versions[index];
    }

    /** Which room was taken from at a position in the round's course. */
    getTaken(position: number): number {
        return this.taken[position];
    }

    private noteTaken(index: number): void {
        this.versions[index]++;
        this.taken.push(index);
    }
}
