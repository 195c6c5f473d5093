import { describe, expect, it } from "@jest/globals";
import { RoundRobin } from "./roundRobin.js";

describe("RoundRobin", () => {
    describe("when no value was skipped", () => {
        it("lists the most urgent values first", () => {
            const roundRobin = new RoundRobin<string>();
            roundRobin.recordSkipped([]);
            expect(roundRobin.listInTurn(["a", "b", "c"])).toEqual(["a", "b", "c"]);
        });
    });

    describe("when values were skipped", () => {
        it("alternates skipped values with the most urgent ones", () => {
            const roundRobin = new RoundRobin<string>();
            roundRobin.recordSkipped(["y", "z"]);
            expect(roundRobin.listInTurn(["a", "b", "y", "z"])).toEqual(["y", "a", "z", "b"]);
        });

        it("leaves out skipped values that are no longer given", () => {
            const roundRobin = new RoundRobin<string>();
            roundRobin.recordSkipped(["y", "z"]);
            expect(roundRobin.listInTurn(["a", "z"])).toEqual(["z", "a"]);
        });

        it("lists the longest-skipped value first", () => {
            const roundRobin = new RoundRobin<string>();
            roundRobin.recordSkipped(["z"]);
            roundRobin.recordSkipped(["y", "z"]);
            expect(roundRobin.listInTurn(["a", "y", "z"])).toEqual(["z", "a", "y"]);
        });
    });

    describe("when urgent values keep arriving and two are handled each time", () => {
        it("starves no value", () => {
            const roundRobin = new RoundRobin<number>();
            let waiting = Array.from({ length: 50 }, (_unused, index) => index);
            // No value is skipped yet in the first round.
            for (let round = 0; round < 51; round++) {
                // Two new values arrive, both more urgent than all others.
                const ordered = roundRobin.listInTurn([-2 * round - 1, -2 * round - 2, ...waiting]);
                roundRobin.recordSkipped(ordered.slice(2));
                waiting = ordered.slice(2);
            }
            expect(waiting.filter(value => value >= 0)).toEqual([]);
        });
    });
});
