import { describe, expect, it } from "@jest/globals";
import { v7 } from "uuid";
import { IdCheckResult } from "./idCheckResult.js";
import { RequestIdTable } from "./requestIdTable.js";

const START_MS = 1_800_000_000_000;

function createTable(clock: { nowMs: number }, maxIds = 100): RequestIdTable {
    return new RequestIdTable({ keepMs: 10_000, clockSkewMs: 100, maxIds, now: () => clock.nowMs });
}

function createId(msecs: number): string {
    return v7({ msecs });
}

describe("RequestIdTable", () => {
    describe("when an id is new", () => {
        it("admits its request once, and again after the id was dropped", () => {
            const clock = { nowMs: START_MS };
            const table = createTable(clock);
            clock.nowMs += 1_000;
            const id = createId(clock.nowMs);
            expect(table.remember(id)).toBe(IdCheckResult.Fresh);
            expect(table.remember(id)).toBe(IdCheckResult.Known);
            table.drop(id);
            expect(table.remember(id)).toBe(IdCheckResult.Fresh);
        });
    });

    describe("when an id is older than the table", () => {
        it("answers too-old for an id created before the table", () => {
            const table = createTable({ nowMs: START_MS });
            expect(table.remember(createId(START_MS - 1))).toBe(IdCheckResult.TooOld);
        });

        it("answers known or too-old for a remembered id at any later time, and removes it when it has expired", () => {
            const clock = { nowMs: START_MS };
            const table = createTable(clock);
            clock.nowMs += 1_000;
            const id = createId(clock.nowMs);
            table.remember(id);
            for (let i = 0; i < 20_000; i += 50) {
                clock.nowMs += 50;
                expect([IdCheckResult.Known, IdCheckResult.TooOld]).toContain(table.remember(id));
            }
            expect(table.getCount()).toBe(0);
        });
    });

    describe("when an id is invalid or the table is full", () => {
        it("refuses the request with a result that says it did not run", () => {
            const clock = { nowMs: START_MS };
            const table = createTable(clock, 0);
            expect(table.remember("a")).toBe(IdCheckResult.Malformed);
            expect(table.remember(createId(START_MS + 1_000))).toBe(IdCheckResult.FromFuture);
            clock.nowMs += 1_000;
            expect(table.remember(createId(clock.nowMs))).toBe(IdCheckResult.TableFull);
        });
    });
});
