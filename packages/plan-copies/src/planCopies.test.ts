import { describe, expect, it } from "@jest/globals";
import { planCopies } from "./planCopies.js";

const usual = { queue: "quick", cpuMillis: 1000, newRunMs: 1000 };

describe("Planning copies", () => {
    // Guards against copies that most likely end after the run that they copy.
    it("copies only runs that are expected to go on for longer than a new run takes", () => {
        const use = new Map([["quick", { ownCpuMillis: 100_000, copyCpuMillis: 0 }]]);
        const candidates = [{ ...usual, item: "a", remainingMs: 1100 }, { ...usual, item: "b", remainingMs: 5000 }];
        expect(planCopies(candidates, use, () => "w")).toEqual({ copies: [{ item: "b", workerId: "w" }], refused: 0 });
    });

    // Guards against extra work above a tenth, also by copies of one round.
    it("keeps copies within a tenth of what the queue's tasks hold, those that gain most first", () => {
        const use = new Map([["quick", { ownCpuMillis: 30_000, copyCpuMillis: 1000 }]]);
        const candidates = [4000, 6000, 5000].map(remainingMs => ({ ...usual, item: remainingMs, remainingMs }));
        const { copies, refused } = planCopies(candidates, use, () => "w");
        expect(copies.map(copy => copy.item)).toEqual([6000, 5000]);
        expect(refused).toBe(1);
    });
});
