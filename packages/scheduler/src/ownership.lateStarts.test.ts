import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";
import { FakeDomain } from "./testing/fakeDomain.js";
import { ownershipSettings as settings } from "./testing/ownershipSettings.js";
import { runHistory } from "./testing/runHistory.js";

const SEED = Number(process.env.FUZZ_SEED ?? 20261204);
const RUNS = Number(process.env.FUZZ_RUNS ?? 150);
const SCHEDULERS = 2;
const WORKERS = 2;

const index = fc.nat(7);
/** Little beside starts that are carried out late, so that they often meet a release or an end. */
const step = fc.oneof(
    {
        weight: 4,
        arbitrary: fc.record({ kind: fc.constant("wait" as const), ticks: fc.integer({ min: 1, max: 6 }), index }),
    },
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constantFrom("startsLate" as const, "startsInTime" as const, "deliver" as const),
            index,
        }),
    },
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constantFrom("submit" as const, "drain" as const, "restore" as const),
            index,
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "restart" as const,
                "logOut" as const,
                "logBack" as const,
                "roomElsewhere" as const,
                "noRoomElsewhere" as const,
            ),
            index,
        }),
    },
);

async function runTicks(domain: FakeDomain, count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
        await domain.runTick(0);
    }
}

describe("schedulers whose starts are carried out late", () => {
    describe("when a start without an answer is repeated, and the first one is carried out after the task's end", () => {
        it("don't run the task again", async () => {
            const domain = new FakeDomain(settings, SCHEDULERS, WORKERS);
            domain.links.set("s1>w0", "cut");
            domain.links.set("s0>w0", "startsLate");
            domain.submitTask();
            domain.submitTask();
            await runTicks(domain, 3);
            expect(domain.oracle.countStarts("d/t1")).toBe(0);
            domain.links.set("s0>w0", "up");
            await runTicks(domain, 12);
            expect(domain.listOpen()).toEqual(["d/t0"]);
            expect(domain.oracle.countStarts("d/t1")).toBe(1);
            domain.handleLate();
            expect(domain.oracle.violations).toEqual([]);
        });
    });

    describe("among late starts, drains, restarts and outages of the log", () => {
        it(`never run a task on two workers at once and lose no task (seed ${SEED})`, async () => {
            await fc.assert(
                fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), async steps => {
                    const domain = new FakeDomain(settings, SCHEDULERS, WORKERS);
                    expect(await runHistory(domain, steps)).toEqual({ violations: [], open: [] });
                }),
                { seed: SEED, numRuns: RUNS },
            );
        }, 120_000);
    });
});
