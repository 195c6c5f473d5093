import { describe, expect, it } from "@jest/globals";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const SEEDS = Array.from({ length: 100 }, (_unused, index) => 20261206 + index);
const FOREVER_MS = 600_000;
const WORKERS = ["w0", "w1", "w2", "w3"];
const TASKS = 16;
/** The slowest clock that a worker may have, relative to the coordinator's. */
const SLOWEST_CLOCK_RATE = 0.98;
/** Time after which everything runs again: all leases have ended, and the worker is reached again. */
const SETTLE_MS = 14_000;

// Guards against a successor that takes the lease of a worker for ended while the former coordinator could still extend it.
describe("When a coordinator goes on with one worker, both cut off from its successor", () => {
    it.each(SEEDS)("no task runs twice, seed %d", async seed => {
        const random = createRandom(seed);
        const harness = new CoordinatorHarness(random, () => FOREVER_MS);
        harness.endsAuthority = true;
        harness.workerTraits = { clockRate: SLOWEST_CLOCK_RATE, getDemand: undefined };
        WORKERS.forEach(id => void harness.addWorker(id));
        await harness.clock.runFor(50);
        harness.startTerm(false);
        await harness.clock.runFor(500);
        const steps = [createStep({ taskCount: TASKS, longRunning: true })];
        const spec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        void harness.submit("lasting", spec, createQueue());
        await harness.clock.runFor(4000 + random() * 2000);
        const hadUnrecordedStarts = random() < 0.5;
        let isHealed = false;
        harness.isCutOff = (termOrdinal, workerId) => !isHealed && (termOrdinal === 1) !== (workerId === "w0");
        harness.startTerm(hadUnrecordedStarts);
        await harness.clock.runFor(SETTLE_MS - 4000);
        isHealed = random() < 0.5;
        await harness.clock.runFor(4000);
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.runChecker.countActiveRuns()).toBe(TASKS);
    });
});
