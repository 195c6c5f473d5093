import { describe, expect, it } from "@jest/globals";
import { RunEnd } from "@sardinestage/describe-work";
import { VirtualClock } from "@sardinestage/emulate-platform";
import { KeptEnds } from "./keptEnds.js";

function createEnd(number: number) {
    const task = { jobId: "job", occurrence: 0, step: 0, index: number };
    return { number, task, run: 1, end: RunEnd.Done, checkpoint: "" };
}

function listNumbers(kept: KeptEnds, worker: string): number[] {
    return kept.listEnds(worker).flatMap(({ ended }) => ended.map(({ number }) => number));
}

describe("Kept ends", () => {
    it("are listed by life, the one told last at the end, each end once", () => {
        const kept = new KeptEnds(new VirtualClock());
        kept.remember("w0", 5, [createEnd(1), createEnd(2)]);
        kept.remember("w0", 9, [createEnd(1)]);
        kept.remember("w0", 5, [createEnd(2)]);
        kept.remember("w1", 5, [createEnd(7)]);
        expect(kept.listEnds("w0")).toEqual([
            { worker: "w0", bornMs: 9, ended: [createEnd(1)] },
            { worker: "w0", bornMs: 5, ended: [createEnd(1), createEnd(2)] },
        ]);
        expect(kept.size).toBe(4);
    });

    it("are taken once, one life at a time", () => {
        const kept = new KeptEnds(new VirtualClock());
        kept.remember("w0", 5, [createEnd(1)]);
        kept.remember("w0", 9, [createEnd(1)]);
        expect(kept.takeEnds("w0", 5)?.bornMs).toBe(9);
        kept.remember("w0", 9, [createEnd(1)]);
        expect(kept.takeEnds("w0")).toEqual({ worker: "w0", bornMs: 5, ended: [createEnd(1)] });
        expect(kept.takeEnds("w0")).toBeUndefined();
        expect(kept.listEnds("w0")).toHaveLength(2);
    });

    it("go once they are recorded, for their own life and worker only", () => {
        const kept = new KeptEnds(new VirtualClock());
        kept.remember("w0", 5, [createEnd(1), createEnd(2), createEnd(3)]);
        kept.remember("w1", 5, [createEnd(1)]);
        kept.dropRecorded("w0", 9, 3);
        expect(kept.size).toBe(4);
        kept.dropRecorded("w0", 5, 2);
        expect({ first: listNumbers(kept, "w0"), second: listNumbers(kept, "w1") }).toEqual({
            first: [3],
            second: [1],
        });
    });

    it("go 10 s after they were last told", () => {
        const clock = new VirtualClock();
        const kept = new KeptEnds(clock);
        kept.remember("w0", 5, [createEnd(1), createEnd(2)]);
        clock.skipTime(9000);
        kept.remember("w0", 5, [createEnd(2)]);
        clock.skipTime(1000);
        expect(listNumbers(kept, "w0")).toEqual([2]);
        clock.skipTime(9000);
        expect(listNumbers(kept, "w0")).toEqual([]);
        kept.remember("w1", 5, [createEnd(1)]);
        expect(kept.size).toBe(1);
    });

    it("stay below their bound, and the oldest go first", () => {
        const kept = new KeptEnds(new VirtualClock(), 3);
        kept.remember("w0", 5, [createEnd(1), createEnd(2)]);
        kept.remember("w1", 5, [createEnd(1)]);
        kept.remember("w2", 5, [createEnd(1)]);
        expect(kept.size).toBe(3);
        expect(listNumbers(kept, "w0")).toEqual([2]);
        kept.remember("w1", 5, [createEnd(2), createEnd(3), createEnd(4), createEnd(5)]);
        expect({ size: kept.size, left: listNumbers(kept, "w1") }).toEqual({ size: 3, left: [3, 4, 5] });
    });
});
