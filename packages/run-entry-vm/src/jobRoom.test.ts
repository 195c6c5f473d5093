import { describe, expect, it } from "@jest/globals";
import { VirtualClock } from "@sardinestage/emulate-platform";
import { JobRoom } from "./jobRoom.js";

const VM_COUNT = 40;
const FREE_BYTES = 8_000_000;
/** Longer than several follow requests take, in milliseconds. */
const LONG_MS = 5000;

// Guards against VMs that together accept more than there is room for, each by what it was told.
describe("JobRoom", () => {
    it("leaves half of the room to questions, whatever the VMs accept without one", () => {
        const room = new JobRoom(new VirtualClock());
        room.note(FREE_BYTES, 0);
        expect((room.computePart(VM_COUNT, undefined) ?? Infinity) * VM_COUNT).toBe(FREE_BYTES / 2);
    });

    it("takes what the coordinator of this VM says before what another one told", () => {
        const room = new JobRoom(new VirtualClock());
        room.note(FREE_BYTES, 0);
        expect(room.computePart(1, 0)).toBe(0);
    });

    it("knows nothing before a coordinator tells, and long after", async () => {
        const clock = new VirtualClock();
        const room = new JobRoom(clock);
        expect(room.computePart(VM_COUNT, undefined)).toBeUndefined();
        room.note(FREE_BYTES, clock.getNow());
        await clock.runFor(LONG_MS);
        expect(room.computePart(VM_COUNT, undefined)).toBeUndefined();
    });
});
