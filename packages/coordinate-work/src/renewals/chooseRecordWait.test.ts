import { describe, expect, it } from "@jest/globals";
import { limits } from "../limits.js";
import { chooseRecordWait } from "./chooseRecordWait.js";

describe("chooseRecordWait", () => {
    it("waits the same for a worker that stays, however busy the process is", () => {
        expect(chooseRecordWait(false, 0, 0)).toBe(limits.endRecordWaitMs);
        expect(chooseRecordWait(false, 0, limits.busyLoopDelayMs)).toBe(limits.endRecordWaitMs);
    });

    it("waits less for a worker that is leaving, unless the process is busy", () => {
        expect(chooseRecordWait(true, 0, 0)).toBe(limits.leavingEndRecordWaitMs);
        expect(chooseRecordWait(true, 0, limits.busyLoopDelayMs)).toBe(limits.endRecordWaitMs);
    });

    it("waits as long as for others once a worker that is leaving has listed no new end for a while", () => {
        expect(chooseRecordWait(true, limits.leavingEndRecordWaits - 1, 0)).toBe(limits.leavingEndRecordWaitMs);
        expect(chooseRecordWait(true, limits.leavingEndRecordWaits, 0)).toBe(limits.endRecordWaitMs);
    });
});
