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
        store.faults.lostShare = 1;
        store.faults.lateMs = lateMs;
        void holder.renew(term, 0, false);
    };
    return { clock, observer, read, renew, renewLate };
}

describe("TermObserver", () => {
    describe("when the coordinator renews", () => {
        it("sees that it lives", async () => {
            const { clock, observer, read, renew } = await createObserved();
            await read();
            await clock.runFor(500);
            await renew();
            await read();
            expect(observer.renewalAgeMs).toBeLessThanOrEqual(50);
        });
    });

    describe("when the coordinator has stopped renewing", () => {
        it("sees that at the first look, without waiting for a second", async () => {
            const { clock, observer, read } = await createObserved();
            await clock.runFor(5000);
            await read();
            expect(observer.renewalAgeMs).toBeGreaterThan(5000);
        });

        it("doesn't take a record for a new renewal that it sees long after it was written", async () => {
            const { clock, observer, read, renew } = await createObserved();
            await read();
            await clock.runFor(500);
            await renew();
            await clock.runFor(5000);
            await read();
            expect(observer.renewalAgeMs).toBeGreaterThan(5000);
        });
    });

    describe("when a renewal is carried out long after it was sent", () => {
        it("doesn't take it for a sign that the coordinator had the store then, and has recorded its starts", async () => {
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

        it("takes it for one when it was carried out soon", async () => {
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
