import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import { limits } from "../limits.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const WORKERS = 200;
const JOBS = 40;
const TASKS = 40;
const SENDING_MS = 5;
const CHECK_INTERVAL_MS = 10;
const CHECKS = 300;
/** Time that sending a start takes on a VM that isn't short of processor, in milliseconds. */
const QUICK_SENDING_MS = 0.2;
/** The starts of one round wait to be sent while the next round is planned, so a round costs little time. */
const MAX_QUICK_MS = 500;

/** Creates a coordinator that has 1,600 starts to order; sending one takes 5 ms of its thread, unless said otherwise. */
async function createBusyHarness(sendCostMs = SENDING_MS): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(() => 0.5, () => 60_000);
    const adding = Array.from({ length: WORKERS }, (_unused, index) => harness.addWorker(`w${index}`));
    await harness.clock.runFor(20);
    await Promise.all(adding);
    harness.startTerm(false);
    await harness.clock.runFor(1000);
    harness.sendCostMs = sendCostMs;
    const spec = {
        payload: "payload",
        steps: [createStep({ taskCount: TASKS, cpuMillis: 400 })],
        repeatCount: 0,
        firstRunMs: 0,
        intervalMs: 0,
    };
    for (let job = 0; job < JOBS; job++) {
        void harness.submit(`job${job}`, spec, createQueue());
    }
    return harness;
}

describe("Coordinator", () => {
    describe("when sending the starts of one round takes a second", () => {
        it("sends the starts as fast as the loop allows", async () => {
            const harness = await createBusyHarness();
            await harness.clock.runFor(1000);
            const before = harness.runChecker.countActiveRuns();
            const startedAtMs = harness.clock.getNow();
            await harness.clock.runFor(2000);
            const startsPerBatch = limits.startBatchMs / SENDING_MS;
            const expectedStarts = (harness.clock.getNow() - startedAtMs) / SENDING_MS;
            expect(harness.runChecker.countActiveRuns() - before).toBeGreaterThanOrEqual(
                expectedStarts - startsPerBatch,
            );
        });

        it("doesn't delay renewals until all starts are sent, and orders only what it can send soon", async () => {
            const harness = await createBusyHarness();
            let maxDelayMs = 0;
            for (let check = 0; check < CHECKS; check++) {
                const dueAtMs = harness.clock.getNow() + CHECK_INTERVAL_MS;
                await harness.clock.runFor(CHECK_INTERVAL_MS);
                maxDelayMs = Math.max(maxDelayMs, harness.clock.getNow() - dueAtMs);
            }
            const atWork = harness.runChecker.countActiveRuns();
            const ordered = harness.events.filter(event => event.includes(" run-order ")).length;
            expect(maxDelayMs).toBeLessThanOrEqual(limits.startBatchMs + SENDING_MS);
            // The starts of one round wait to be sent, those of another to be recorded.
            expect(ordered - atWork).toBeLessThanOrEqual(limits.maxStartsPerRound * 2);
        });
    });

    describe("when the starts of one round are sent long before the next idle round", () => {
        it("plans the next round as soon as they are sent", async () => {
            const harness = await createBusyHarness(QUICK_SENDING_MS);
            await harness.clock.runFor(MAX_QUICK_MS);
            expect(harness.runChecker.countActiveRuns()).toBe(JOBS * TASKS);
        });
    });
});
