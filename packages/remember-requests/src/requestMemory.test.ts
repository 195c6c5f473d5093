import { describe, expect, it } from "@jest/globals";
import { v7 } from "uuid";
import { IdVerdict } from "./idVerdict.js";
import { RequestMemory } from "./requestMemory.js";

const START_MS = 1_800_000_000_000;

function createMemory(clock: { nowMs: number }, maxIds = 100): RequestMemory {
    return new RequestMemory({ keepMs: 10_000, clockSkewMs: 100, maxIds, now: () => clock.nowMs });
}

function createId(msecs: number): string {
    return v7({ msecs });
}

describe("RequestMemory", () => {
    describe("when an id is new", () => {
        it("lets it run once", () => {
            const clock = { nowMs: START_MS };
            const memory = createMemory(clock);
            clock.nowMs += 1_000;
            const id = createId(clock.nowMs);
            expect(memory.remember(id)).toBe(IdVerdict.Fresh);
            expect(memory.remember(id)).toBe(IdVerdict.Known);
            memory.drop(id);
            expect(memory.remember(id)).toBe(IdVerdict.Fresh);
        });
    });

    describe("when it can't know an id", () => {
        it("says so of ids from before its start", () => {
            const memory = createMemory({ nowMs: START_MS });
            expect(memory.remember(createId(START_MS - 1))).toBe(IdVerdict.TooOld);
        });

        it("says so of ids older than what it keeps, and has not forgotten younger ones", () => {
            const clock = { nowMs: START_MS };
            const memory = createMemory(clock);
            clock.nowMs += 1_000;
            const id = createId(clock.nowMs);
            memory.remember(id);
            for (let i = 0; i < 20_000; i += 50) {
                clock.nowMs += 50;
                expect([IdVerdict.Known, IdVerdict.TooOld]).toContain(memory.remember(id));
            }
            expect(memory.getCount()).toBe(0);
        });
    });

    describe("when an id is wrong", () => {
        it("refuses it as not run", () => {
            const clock = { nowMs: START_MS };
            const memory = createMemory(clock, 0);
            expect(memory.remember("a")).toBe(IdVerdict.Malformed);
            expect(memory.remember(createId(START_MS + 1_000))).toBe(IdVerdict.FromFuture);
            clock.nowMs += 1_000;
            expect(memory.remember(createId(clock.nowMs))).toBe(IdVerdict.TableFull);
        });
    });
});
