import { describe, expect, it } from "@jest/globals";
import { MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { RenewalOutcome } from "./renewalOutcome.js";
import { TermLog } from "./termLog.js";

function createLogs(random: () => number = () => 0.5) {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock, random);
    const createLog = (vm: string) =>
        new TermLog(store, { vm, incarnation: vm, host: "host", port: 1, strength: 1 }, clock);
    return { clock, store, first: createLog("first"), second: createLog("second") };
}

describe("TermLog", () => {
    describe("when two candidates campaign at the same time", () => {
        it("lets only one win", async () => {
            const { clock, first, second } = createLogs();
            const tries = Promise.all([first.tryWin(0), second.tryWin(0)]);
            await clock.runFor(100);
            const won = (await tries).filter(holder => holder !== undefined);
            expect(won.map(holder => holder.term)).toEqual([1]);
        });
    });

    describe("when the answer to the winning append is lost", () => {
        it("shows the winner at the next read", async () => {
            const { clock, store, first } = createLogs(() => 0);
            store.faults.lostAnswerShare = 1;
            const tried = first.tryWin(0);
            await clock.runFor(1000);
            expect(await tried).toBeUndefined();
            store.faults.lostAnswerShare = 0;
            const read = first.readTerm();
            await clock.runFor(100);
            expect((await read)?.holder).toMatchObject({ vm: "first", term: 1 });
        });
    });

    describe("when a term was only just won", () => {
        it("reports possible unrecorded runs until the first renewal says that there are none", async () => {
            const { clock, first, second } = createLogs();
            const won = first.tryWin(0);
            await clock.runFor(50);
            const before = second.readTerm();
            await clock.runFor(50);
            expect((await before)?.hasUnrecordedStarts).toBe(true);
            const renewed = first.renew((await won)?.term ?? 0, 0, false);
            await clock.runFor(50);
            await renewed;
            const after = second.readTerm();
            await clock.runFor(50);
            expect((await after)?.hasUnrecordedStarts).toBe(false);
        });
    });

    describe("when a holder renews", () => {
        it("finds out that another process has won a term", async () => {
            const { clock, first, second } = createLogs();
            const won = first.tryWin(0);
            await clock.runFor(50);
            const term = (await won)?.term ?? 0;
            const renewed = first.renew(term, 0, false);
            await clock.runFor(50);
            expect(await renewed).toBe(RenewalOutcome.Renewed);
            const view = second.readTerm();
            await clock.runFor(50);
            const taken = second.tryWin((await view)?.end ?? 0);
            await clock.runFor(50);
            expect((await taken)?.term).toBeGreaterThan(term);
            const late = first.renew(term, 0, false);
            await clock.runFor(50);
            expect(await late).toBe(RenewalOutcome.TermLost);
        });

        it("renews even if an earlier renewal was written and its answer was lost", async () => {
            const { clock, store, first } = createLogs(() => 0);
            const won = first.tryWin(0);
            await clock.runFor(50);
            const term = (await won)?.term ?? 0;
            store.faults.lostAnswerShare = 1;
            const lost = first.renew(term, 0, false);
            await clock.runFor(1000);
            expect(await lost).toBe(RenewalOutcome.Failed);
            store.faults.lostAnswerShare = 0;
            const next = first.renew(term, 0, false);
            await clock.runFor(50);
            expect(await next).toBe(RenewalOutcome.Renewed);
        });
    });
});
