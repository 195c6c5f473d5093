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
const step = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({ kind: fc.constant("wait" as const), ticks: fc.integer({ min: 1, max: 25 }), index }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("submit" as const), index }) },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("link" as const),
            index,
            worker: index,
            link: fc.constantFrom(
                "up" as const,
                "cut" as const,
                "answersLost" as const,
                "late" as const,
                "startsLate" as const,
            ),
        }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("pause" as const, "resume" as const), index }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom("logOut" as const, "logBack" as const), index }) },
    {
        weight: 9,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "restart" as const,
                "workerDies" as const,
                "unlist" as const,
                "list" as const,
                "peersCut" as const,
                "peersBack" as const,
                "drain" as const,
                "restore" as const,
                "deliver" as const,
                "fill" as const,
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

/** Submits one task more than a worker has slots, so that the last one is bound but does not run. */
async function submitToFirstWorker(domain: FakeDomain): Promise<void> {
    for (let i = 0; i < 9; i++) {
        domain.submitTask();
    }
    await runTicks(domain, 4);
}

describe("schedulers that share workers", () => {
    describe("when the holder is cut off from the log and its peer, and the peer condemns its worker", () => {
        it("start the tasks on another worker only after their leases have expired on the first", async () => {
            const domain = new FakeDomain(settings, SCHEDULERS, WORKERS);
            domain.submitTask();
            domain.submitTask();
            await runTicks(domain, 3);
            domain.links.set("s0>w1", "cut");
            domain.links.set("s1>w0", "cut");
            domain.schedulers[0].isLogUnreachable = true;
            domain.arePeersCut = true;
            domain.unlisted.add("s1>w0");
            await runTicks(domain, 40);
            expect(domain.oracle.violations).toEqual([]);
            expect(domain.oracle.countStarts("d/t1")).toBe(2);
        });
    });

    describe("when a paused holder's release is still on its way while another takes over without the log", () => {
        it("start no task until the hold record is read back", async () => {
            const domain = new FakeDomain(settings, SCHEDULERS, WORKERS);
            await submitToFirstWorker(domain);
            domain.schedulers.forEach(scheduler => scheduler.isLogUnreachable = true);
            domain.unlisted.add("s0>w0");
            domain.links.set("s1>w1", "cut");
            await runTicks(domain, 1);
            domain.stopTemporarily(0);
            await runTicks(domain, 4);
            domain.handleLate();
            domain.schedulers[0].isLogUnreachable = false;
            domain.schedulers[0].isPaused = false;
            await runTicks(domain, 6);
            expect(domain.oracle.violations).toEqual([]);
        });
    });

    describe("when a paused holder's release arrives after another has taken over", () => {
        it("ignore the late release", async () => {
            const domain = new FakeDomain(settings, SCHEDULERS, WORKERS);
            await submitToFirstWorker(domain);
            domain.schedulers[0].isLogUnreachable = true;
            domain.unlisted.add("s0>w0");
            await runTicks(domain, 1);
            domain.stopTemporarily(0);
            await runTicks(domain, 7);
            domain.links.set("s1>w0", "cut");
            domain.unlisted.add("s1>w0");
            domain.handleLate();
            domain.schedulers[0].isLogUnreachable = false;
            domain.schedulers[0].isPaused = false;
            await runTicks(domain, 4);
            expect(domain.oracle.violations).toEqual([]);
        });
    });

    describe("when a full worker's waiting task is released, and the worker has room before the release is in the log", () => {
        it("don't start the task there, since another worker starts its next attempt under the same number", async () => {
            const domain = new FakeDomain(settings, SCHEDULERS, WORKERS);
            domain.links.set("s0>w1", "cut");
            domain.links.set("s1>w0", "cut");
            await submitToFirstWorker(domain);
            await runTicks(domain, 2);
            domain.hasRoomElsewhere = true;
            domain.schedulers[0].isLogUnreachable = true;
            await runTicks(domain, 1);
            domain.hasRoomElsewhere = false;
            await runTicks(domain, 1);
            expect(domain.workers[0].countRunning()).toBeLessThan(8);
            domain.schedulers[0].isLogUnreachable = false;
            await runTicks(domain, 1);
            domain.links.set("s0>w0", "cut");
            await runTicks(domain, 3);
            expect(domain.oracle.violations).toEqual([]);
            expect(domain.oracle.countStarts("d/t8")).toBe(1);
        });
    });

    describe("when a start without an answer is carried out after its binding was released", () => {
        it("don't run the task on two workers", async () => {
            const domain = new FakeDomain(settings, SCHEDULERS, WORKERS);
            domain.links.set("s0>w1", "cut");
            domain.links.set("s1>w0", "cut");
            domain.submitTask();
            await runTicks(domain, 2);
            domain.links.set("s0>w0", "startsLate");
            await runTicks(domain, 1);
            domain.setDrained(0, true);
            await runTicks(domain, 4);
            expect(domain.oracle.countStarts("d/t0")).toBe(1);
            domain.handleLate();
            expect(domain.oracle.violations).toEqual([]);
        });
    });

    describe("under any sequence of cut links, pauses, restarts, lost or late messages, and drains", () => {
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
