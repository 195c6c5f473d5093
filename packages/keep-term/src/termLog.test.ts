import { describe, expect, it } from "@jest/globals";
import { waitFor } from "@sardinestage/describe-ports";
import { createRandom, MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
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

    describe("when a holder binds its leases by the age of its authority", () => {
        it("says so in its renewals, not in the record that wins the term", async () => {
            const { clock, first, second } = createLogs();
            const won = first.tryWin(0);
            await clock.runFor(50);
            const term = (await won)?.term ?? 0;
            const seen: (boolean | undefined)[] = [];
            const read = async () => seen.push((await second.readTerm())?.areLeasesBound);
            void read();
            await clock.runFor(50);
            void first.renew(term, 0, false, true).then(read);
            await clock.runFor(50);
            void first.renew(term, 0, false).then(read);
            await clock.runFor(50);
            expect(seen).toEqual([false, true, false]);
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
            expect(first.newestFence).toBe(term);
            store.faults.lostAnswerShare = 1;
            const lost = first.renew(term, 0, false);
            await clock.runFor(1000);
            expect(await lost).toBe(RenewalOutcome.Failed);
            // Nobody has told this process that the store carried the renewal out.
            expect(first.newestFence).toBe(term);
            store.faults.lostAnswerShare = 0;
            const next = first.renew(term, 0, false);
            await clock.runFor(50);
            expect(await next).toBe(RenewalOutcome.Renewed);
            expect(first.newestFence).toBe(term + 1);
        });
    });

    describe("as a source of fencing tokens", () => {
        it("offers the term itself once the term is won, also by an append without an answer, and 0 before", async () => {
            const { clock, store, first } = createLogs(() => 0);
            store.faults.lostAnswerShare = 1;
            void first.tryWin(0);
            await clock.runFor(1000);
            expect(first.newestFence).toBe(0);
            store.faults.lostAnswerShare = 0;
            const read = first.readTerm();
            await clock.runFor(100);
            const view = await read;
            if (view?.holder?.term !== 1) {
                throw new Error("The append without an answer hasn't won the term.");
            }
            // A page's end may be newer than its records: here as if another process had won term 2 in between.
            first.acceptTerm({ ...view, end: 2 });
            expect(first.newestFence).toBe(1);
        });

        it("offers none at or above a later term, whatever answers are lost and whatever is carried out late", async () => {
            const totals = { terms: 0, raised: 0 };
            for (let seed = 1; seed <= 60; seed++) {
                const random = createRandom(seed);
                const { clock, store, first, second } = createLogs(random);
                /** Highest token offered in each term, by the term. */
                const offered = new Map<number, number>();
                /** Tries to win and renews, as a process does that often takes the others for dead. */
                const runProcess = async (log: TermLog, vm: string) => {
                    for (let turn = 0; turn < 40; turn++) {
                        await waitFor(clock, random() * 300);
                        const view = await log.readTerm();
                        if (view === undefined) {
                            continue;
                        }
                        const isHolder = view.holder?.vm === vm;
                        const won = isHolder || random() < 0.7 ? undefined : await log.tryWin(view.end);
                        if (isHolder) {
                            log.acceptTerm(view);
                        }
                        const term = isHolder ? view.holder?.term : won?.term;
                        const renewals = Math.floor(random() * 6);
                        for (let renewal = 0; term !== undefined && renewal <= renewals; renewal++) {
                            expect(log.newestFence).toBeGreaterThanOrEqual(Math.max(term, offered.get(term) ?? 0));
                            offered.set(term, log.newestFence);
                            if (await log.renew(term, 0, false) === RenewalOutcome.TermLost) {
                                break;
                            }
                        }
                    }
                };
                store.faults.lostAnswerShare = 0.3;
                const changing = setFaults(clock, store, random);
                const running = Promise.all([runProcess(first, "first"), runProcess(second, "second")]);
                await clock.runFor(300_000);
                await Promise.all([running, changing]);
                const terms = [...offered.keys()].sort((left, right) => left - right);
                terms.forEach((term, index) => {
                    expect(offered.get(term)).toBeLessThan(terms[index + 1] ?? Infinity);
                    totals.raised += (offered.get(term) ?? 0) > term ? 1 : 0;
                });
                totals.terms += terms.length;
            }
            // The plays contain many terms, and many of them have raised their token.
            expect(totals.terms).toBeGreaterThan(300);
            expect(totals.raised).toBeGreaterThan(150);
        });
    });
});

/** Changes at random how late the store carries out the appends whose answers are lost. */
async function setFaults(clock: VirtualClock, store: MemoryStore, random: () => number): Promise<void> {
    for (let change = 0; change < 60; change++) {
        store.faults.applyDelayMs = random() < 0.5 ? 0 : random() * 2500;
        await waitFor(clock, 500);
    }
}
