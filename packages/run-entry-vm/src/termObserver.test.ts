import { describe, expect, it } from "@jest/globals";
import { MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { TermLog } from "@sardinestage/keep-term";
import { defaultRules } from "./defaultRules.js";
import { TermObserver } from "./termObserver.js";

async function createObserved() {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock, () => 0.5);
    const holder = new TermLog(
        store,
        { vm: "holder", incarnation: "holder", host: "host", port: 1, strength: 1 },
        clock,
    );
    const won = holder.tryWin(0);
    await clock.runFor(100);
    const term = (await won)?.term ?? 0;
    const other = new TermLog(store, { vm: "other", incarnation: "other", host: "host", port: 1, strength: 1 }, clock);
    const observer = new TermObserver(other, clock, defaultRules);
    const read = async () => {
        const reading = observer.read();
        await clock.runFor(50);
        return await reading;
    };
    const renew = async () => {
        const renewing = holder.renew(term, 0, false);
        await clock.runFor(50);
        await renewing;
    };
    const renewLate = (lateMs: number) => {
        store.faults.lostAnswerShare = 1;
        store.faults.applyDelayMs = lateMs;
        void holder.renew(term, 0, false);
    };
    return { clock, observer, read, renew, renewLate };
}

describe("TermObserver", () => {
    describe("when the coordinator renews", () => {
        it("reports a recent renewal", async () => {
            const { clock, observer, read, renew } = await createObserved();
            await read();
            await clock.runFor(500);
            await renew();
            await read();
            expect(observer.renewalAgeMs).toBeLessThanOrEqual(50);
        });
    });

    describe("when the coordinator has stopped renewing", () => {
        it("notices it with the first read, without waiting for a second one", async () => {
            const { clock, observer, read } = await createObserved();
            await clock.runFor(5000);
            await read();
            expect(observer.renewalAgeMs).toBeGreaterThan(5000);
        });

        it("doesn't count a record that it reads long after it was written as a new renewal", async () => {
            const { clock, observer, read, renew } = await createObserved();
            await read();
            await clock.runFor(500);
            await renew();
            await clock.runFor(5000);
            await read();
            expect(observer.renewalAgeMs).toBeGreaterThan(5000);
        });
    });

    describe("when the store carries out a renewal long after it was sent", () => {
        it("doesn't count it as proof that the coordinator had recorded all its starts by then", async () => {
            const { clock, observer, read, renewLate } = await createObserved();
            await read();
            renewLate(4600);
            await clock.runFor(4300);
            await read();
            await clock.runFor(400);
            const view = await read();
            expect(view?.end).toBe(2);
            expect(view !== undefined && observer.isFullyRecorded(view)).toBe(false);
        });

        it("counts a renewal that was carried out soon as proof that all starts are recorded", async () => {
            const { clock, observer, read, renewLate } = await createObserved();
            await read();
            renewLate(300);
            await clock.runFor(500);
            const view = await read();
            expect(view?.end).toBe(2);
            expect(view !== undefined && observer.isFullyRecorded(view)).toBe(true);
        });
    });
});
