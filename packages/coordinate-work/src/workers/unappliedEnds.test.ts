import { describe, expect, it } from "@jest/globals";
import { RunEnd } from "@sardinestage/describe-work";
import { UnappliedEnds } from "./unappliedEnds.js";

const MAX_ENDS = 1000;

function createEnd(number: number, jobId = "job", run = 1) {
    return {
        number,
        task: { jobId, occurrence: 0, step: 0, index: number },
        run,
        end: RunEnd.Done,
        checkpoint: "",
    };
}

describe("UnappliedEnds", () => {
    it("keeps each end once, and tells how many are new", () => {
        const ends = new UnappliedEnds();
        expect(ends.remember(5, [createEnd(1), createEnd(2)])).toBe(2);
        expect(ends.remember(5, [createEnd(1), createEnd(2), createEnd(3)])).toBe(1);
        expect(ends.take(() => true).map(({ row }) => row.number)).toEqual([1, 2, 3]);
    });

    it("gives an end out once, also if it is told again", () => {
        const ends = new UnappliedEnds();
        ends.remember(5, [createEnd(1)]);
        ends.take(() => true);
        expect(ends.remember(5, [createEnd(1)])).toBe(0);
        expect(ends.take(() => true)).toEqual([]);
        expect(ends.hasTaken(5, createEnd(1))).toBe(true);
    });

    it("keeps the ends that can't be applied yet", () => {
        const ends = new UnappliedEnds();
        ends.remember(5, [createEnd(1, "unread"), createEnd(2)]);
        expect(ends.take(({ task }) => task.jobId !== "unread")).toHaveLength(1);
        expect(ends.size).toBe(1);
        expect(ends.hasTaken(5, createEnd(1, "unread"))).toBe(false);
    });

    it.each([[6, createEnd(1)], [5, createEnd(1, "later")], [5, createEnd(1, "job", 2)]])(
        "takes the same number in life %d for another end if the life, the task or the run differs",
        (bornMs, row) => {
            const ends = new UnappliedEnds();
            ends.remember(5, [createEnd(1)]);
            ends.take(() => true);
            expect(ends.hasTaken(bornMs, row)).toBe(false);
            expect(ends.remember(bornMs, [row])).toBe(1);
        },
    );

    it("drops the oldest ends beyond its bound", () => {
        const ends = new UnappliedEnds();
        ends.remember(5, Array.from({ length: MAX_ENDS + 2 }, (_unused, index) => createEnd(index)));
        expect(ends.size).toBe(MAX_ENDS);
        expect(ends.take(() => true)[0].row.number).toBe(2);
    });
});
