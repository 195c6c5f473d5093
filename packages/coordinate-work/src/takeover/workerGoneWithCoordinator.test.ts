import { describe, expect, it } from "@jest/globals";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const SEED = 38;
const WORKERS = ["w0", "w1", "w2", "w3"];
const TASKS = 16;
/** Time without a coordinator, in milliseconds. */
const TAKEOVER_MS = 3000;
/** A long-running task may be without a run for so long after its worker has gone, in milliseconds. */
const MAX_WAIT_MS = 9000;
/** What is left of that for the start itself on a platform that is slower than this one, in milliseconds. */
const SPARE_MS = 500;

// Guards against a successor that waits for a lease longer than the lease of a worker that nobody reaches can last.
describe("Long-running tasks on a worker that goes together with the coordinator", () => {
    it.each([{ hadUnrecordedStarts: false }, { hadUnrecordedStarts: true }])(
        "run elsewhere in time, hadUnrecordedStarts: $hadUnrecordedStarts",
        async ({ hadUnrecordedStarts }) => {
            const harness = new CoordinatorHarness(createRandom(SEED), () => FOREVER_MS);
            WORKERS.forEach(id => void harness.addWorker(id));
            await harness.clock.runFor(50);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            const steps = [createStep({ taskCount: TASKS, longRunning: true })];
            const spec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
            void harness.submit("lasting", spec, createQueue());
            await harness.clock.runFor(5000);
            expect(harness.runChecker.countActiveRuns()).toBe(TASKS);
            Object.assign(harness.fleet.workers.get("w1") ?? {}, { isUnreachable: true });
            harness.stopWorker("w1");
            harness.coordinator?.close();
            await harness.clock.runFor(TAKEOVER_MS);
            harness.startTerm(hadUnrecordedStarts);
            await harness.clock.runFor(MAX_WAIT_MS - SPARE_MS - TAKEOVER_MS);
            expect(harness.runChecker.countActiveRuns()).toBe(TASKS);
            expect(harness.runChecker.violations).toEqual([]);
        },
    );
});
