import { describe, expect, it } from "@jest/globals";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const SEED = 38;
/** A long-running task may be without a run for so long after its job was accepted, in milliseconds. */
const MAX_WAIT_MS = 7000;
const WORKERS = ["w0", "w1", "w2", "w3"];
const TASKS = 60;

/** Creates a coordinator that has long-running tasks to start while one worker has gone unheard. */
async function createScene(): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(createRandom(SEED), () => FOREVER_MS);
    WORKERS.forEach(id => void harness.addWorker(id));
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(1200);
    // Without power, its connections don't break.
    Object.assign(harness.fleet.workers.get("w0") ?? {}, { isUnreachable: true });
    harness.stopWorker("w0");
    const steps = [createStep({ taskCount: TASKS, longRunning: true, cpuMillis: 500, memoryMb: 500 })];
    void harness.submit("lasting", { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, createQueue());
    return harness;
}

// Guards against starts that go on to a worker which hasn't answered one: each has to wait out the longest lease.
describe("Long-running tasks that are started while a worker has gone unheard", () => {
    it("all run in time", async () => {
        const harness = await createScene();
        await harness.clock.runFor(MAX_WAIT_MS);
        expect(harness.runChecker.countActiveRuns()).toBe(TASKS);
        expect(harness.runChecker.violations).toEqual([]);
    });

    it("aren't sent to the worker any more once a start there got no answer", async () => {
        const harness = await createScene();
        await harness.clock.runFor(MAX_WAIT_MS);
        const unanswered = harness.events.filter(event => event.includes("start-unanswered"));
        const times = unanswered.map(event => Number.parseInt(event, 10));
        expect(times.length).toBeGreaterThan(0);
        expect(Math.max(...times) - Math.min(...times)).toBeLessThanOrEqual(50);
    });
});
