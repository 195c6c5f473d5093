import { describe, expect, it } from "@jest/globals";
import type { ConnectionGrant } from "@sardinestage/grant-connections";
import { GrantLedger } from "@sardinestage/grant-connections";
import fc from "fast-check";
import { RetryBudget } from "./retryBudget.js";
import { TargetTable } from "./targetTable.js";
import { TargetUse } from "./targetUse.js";

const SEED = 20261204;

function createGrant(worker: string, changes: Partial<ConnectionGrant> = {}): ConnectionGrant {
    return { worker, token: 1, service: "s", address: "127.0.0.1", port: 1, limit: 1, ttlMs: 100, ...changes };
}

function createTable(clock: { nowMs: number }, pickRandom = () => 0): TargetTable {
    return new TargetTable({ probationMs: 1_000, maxProbationShare: 0.5, now: () => clock.nowMs, pickRandom });
}

describe("TargetTable", () => {
    describe("when a grant is used", () => {
        it("never exceeds the grant's limit and stops when the grant expires", () => {
            const clock = { nowMs: 0 };
            const table = createTable(clock);
            table.applyGrants("s1", [createGrant("w")], 0);
            const target = table.tryAcquire("s");
            expect(target?.worker).toBe("w");
            expect(table.tryAcquire("s")).toBeUndefined();
            table.release(target!, TargetUse.Answered, 1);
            clock.nowMs = 100;
            expect(table.tryAcquire("s")).toBeUndefined();
        });

        it("ignores a grant with an older fencing token", () => {
            const table = createTable({ nowMs: 0 });
            table.applyGrants("s2", [createGrant("w", { token: 2, limit: 0 })], 0);
            table.applyGrants("s1", [createGrant("w", { token: 1, limit: 9 })], 0);
            expect(table.getCapacity("s")).toBe(0);
        });

        it("still reports requests in flight after the grant was withdrawn", () => {
            const table = createTable({ nowMs: 0 });
            table.applyGrants("s1", [createGrant("w")], 0);
            const target = table.tryAcquire("s");
            table.applyGrants("s1", [], 0);
            expect(table.listReports()).toMatchObject([{ limit: 0, inFlight: 1 }]);
            table.release(target!, TargetUse.Answered, 1);
            expect(table.listReports()).toEqual([]);
        });
    });

    describe("when a target keeps failing", () => {
        it("skips the target, but never more targets than the share allows", () => {
            const clock = { nowMs: 0 };
            let picks = 0;
            const table = createTable(clock, () => (picks++ % 2) / 2);
            table.applyGrants("s1", [createGrant("bad"), createGrant("good")], 0);
            const failOften = (worker: string, exclude: string) => {
                for (let i = 0; i < 2; i++) {
                    const target = table.tryAcquire("s", new Set([exclude]));
                    expect(target?.worker).toBe(worker);
                    table.release(target!, TargetUse.Failed);
                }
            };
            failOften("bad", "good");
            expect(table.tryAcquire("s")?.worker).toBe("good");
            expect(table.tryAcquire("s")).toBeUndefined();
        });
    });
});

describe("RetryBudget", () => {
    describe("when everything fails", () => {
        it("adds no more retries than its share of first tries", () => {
            const budget = new RetryBudget(0.1);
            let retries = 0;
            for (let i = 0; i < 10_000; i++) {
                budget.recordFirstTry();
                retries += budget.tryAcquire() ? 1 : 0;
            }
            expect(retries / 10_000).toBeLessThanOrEqual(0.101);
        });
    });
});

/** Entries pull grants from schedulers that take over a worker from one another; answers arrive late or are lost. */
describe("grants between schedulers and entries", () => {
    describe("when answers are lost or late and the worker changes hands", () => {
        it("never has more requests in flight than the worker's connection limit", () => {
            // Divisible by the number of entries, so that the grants can add up to the limit.
            const connections = 9;
            const step = fc.record({
                action: fc.constantFrom(
                    "pull",
                    "pull",
                    "lostPull",
                    "latePull",
                    "send",
                    "send",
                    "end",
                    "takeOver",
                    "share",
                    "wait",
                ),
                entry: fc.nat(2),
                ms: fc.nat(60),
            });
            fc.assert(
                fc.property(fc.array(step, { maxLength: 150 }), steps => {
                    const clock = { nowMs: 1_000 };
                    const names = ["e0", "e1", "e2"];
                    const tables = names.map(() => createTable(clock));
                    const open = names.map(() =>
                        [] as { target: ReturnType<TargetTable["tryAcquire"]>; untilMs: number }[]
                    );
                    const late: (() => void)[] = [];
                    const options = { ttlMs: 100, maxDeadlineMs: 200, clockMarginMs: 0 };
                    const all = ["s", "s2"].map(service => ({
                        worker: "w",
                        service,
                        address: "",
                        port: 1,
                        concurrency: 99,
                    }));
                    let endpoints = all;
                    let token = 1;
                    let ledger = new GrantLedger(options);
                    ledger.openWorker("w", token, connections, false, clock.nowMs);
                    for (const { action, entry, ms } of steps) {
                        clock.nowMs += 1;
                        const sentAtMs = clock.nowMs;
                        const pull = () =>
                            ledger.pullGrants(names[entry], names, tables[entry].listReports(), endpoints, clock.nowMs);
                        switch (action) {
                            case "pull":
                                tables[entry].applyGrants(`s${token}`, pull(), sentAtMs);
                                break;
                            case "lostPull":
                                pull();
                                break;
                            case "latePull": {
                                const [grants, from] = [pull(), `s${token}`];
                                late.push(() => tables[entry].applyGrants(from, grants, sentAtMs));
                                break;
                            }
                            case "send": {
                                const target = tables[entry].tryAcquire(ms % 2 === 0 ? "s" : "s2");
                                if (target !== undefined) {
                                    open[entry].push({ target, untilMs: clock.nowMs + options.maxDeadlineMs });
                                }
                                break;
                            }
                            case "end": {
                                const ended = open[entry].shift();
                                if (ended?.target !== undefined) {
                                    tables[entry].release(ended.target, TargetUse.Answered, 1);
                                }
                                break;
                            }
                            case "takeOver":
                                ledger = new GrantLedger(options);
                                ledger.openWorker("w", ++token, connections, true, clock.nowMs);
                                break;
                            case "share":
                                endpoints = endpoints.length === 2 ? all.slice(0, 1) : all;
                                break;
                            case "wait":
                                clock.nowMs += ms;
                                late.shift()?.();
                                break;
                        }
                        names.forEach((_, i) => {
                            while (open[i].length > 0 && open[i][0].untilMs <= clock.nowMs) {
                                tables[i].release(open[i].shift()!.target!, TargetUse.Answered, 1);
                            }
                        });
                        const total = open.reduce((sum, each) => sum + each.length, 0);
                        expect(total).toBeLessThanOrEqual(connections);
                    }
                }),
                { seed: SEED, numRuns: 2_000 },
            );
        });
    });
});
