import { describe, expect, it } from "@jest/globals";
import { RoundRobin } from "./roundRobin.js";

describe("FairTurns", () => {
    describe("when everything was reached", () => {
        it("keeps to what is most urgent", () => {
            const turns = new RoundRobin<string>();
            turns.recordSkipped([]);
            expect(turns.listInTurn(["a", "b", "c"])).toEqual(["a", "b", "c"]);
        });
    });

    describe("when something was left over", () => {
        it("goes on with that first, and with the most urgent in between", () => {
            const turns = new RoundRobin<string>();
            turns.recordSkipped(["y", "z"]);
            expect(turns.listInTurn(["a", "b", "y", "z"])).toEqual(["y", "a", "z", "b"]);
        });

        it("has forgotten what is no longer there", () => {
            const turns = new RoundRobin<string>();
            turns.recordSkipped(["y", "z"]);
            expect(turns.listInTurn(["a", "z"])).toEqual(["z", "a"]);
        });

        it("takes what was left over longest first", () => {
            const turns = new RoundRobin<string>();
            turns.recordSkipped(["z"]);
            turns.recordSkipped(["y", "z"]);
            expect(turns.listInTurn(["a", "y", "z"])).toEqual(["z", "a", "y"]);
        });
    });

    describe("when urgent values keep coming and two are reached each time", () => {
        it("starves nothing", () => {
            const turns = new RoundRobin<number>();
            let waiting = Array.from({ length: 50 }, (_unused, index) => index);
            // The first round knows of nothing left over.
            for (let round = 0; round < 51; round++) {
                // Two new ones come, both more urgent than all others.
                const ordered = turns.listInTurn([-2 * round - 1, -2 * round - 2, ...waiting]);
                turns.recordSkipped(ordered.slice(2));
                waiting = ordered.slice(2);
            }
            expect(waiting.filter(value => value >= 0)).toEqual([]);
        });
    });
});
