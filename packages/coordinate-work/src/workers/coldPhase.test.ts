import { describe, expect, it } from "@jest/globals";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import { ColdPhase } from "./coldPhase.js";

const { entry } = createTrackedWorker("w0");

describe("A worker is cold", () => {
    it("for the time that its entry states", () => {
        const phase = new ColdPhase();
        phase.noteEntry({ ...entry, coldRemainingMs: 2000 }, 100);
        expect([99, 2099, 2100].map(nowMs => phase.isCold(nowMs))).toEqual([true, true, false]);
    });

    // Guards against a worker that stays cold for ever, as its entry is repeated or states an absurd time.
    it("not for longer because the entry is repeated, nor for more than 30 s", () => {
        const phase = new ColdPhase();
        phase.noteEntry({ ...entry, coldRemainingMs: Number.MAX_SAFE_INTEGER }, 0);
        phase.noteEntry({ ...entry, coldRemainingMs: Number.MAX_SAFE_INTEGER }, 20_000);
        expect([29_999, 30_000].map(nowMs => phase.isCold(nowMs))).toEqual([true, false]);
    });

    it("again in its next life", () => {
        const phase = new ColdPhase();
        phase.noteEntry({ ...entry, coldRemainingMs: 0 }, 0);
        expect(phase.isCold(1)).toBe(false);
        phase.noteEntry({ ...entry, bornMs: entry.bornMs + 1, coldRemainingMs: 2000 }, 1000);
        expect(phase.isCold(1001)).toBe(true);
    });
});
