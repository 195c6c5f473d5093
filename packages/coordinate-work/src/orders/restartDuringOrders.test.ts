import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import { computeStartsLeft } from "../workers/computeStartsLeft.js";

const FIXED_RANDOM = () => 0.5;
const FOREVER_MS = 600_000;

/** Orders a lasting task on a worker; its start arrives after a delay, during which the worker restarts. */
async function startTask(startDelayMs: number): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(FIXED_RANDOM, () => FOREVER_MS);
    const { clock, fleet } = harness;
    void harness.addWorker("w");
    await clock.runFor(50);
    harness.startTerm(false);
    await clock.runFor(5000);
    // This worker is listed only after the order.
    void harness.addWorker("other");
    await clock.runFor(200);
    // Half of the maximum is drawn each time.
    fleet.faults.startDelays = { maxDeliveryMs: startDelayMs * 2, maxAnswerMs: 0 };
    const steps = [createStep({ longRunning: true })];
    void harness.submit("job", { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, createQueue());
    while (!harness.events.some(event => event.includes("run-order"))) {
        await clock.runFor(1);
    }
    await clock.runFor(10);
    return harness;
}

describe("A worker that restarts while a start is on its way", () => {
    // Guards against a start that the second life's report settles and the third life carries out.
    it.each([200, 240, 280])("twice, and the start takes %d ms, has the task run once", async startDelayMs => {
        const harness = await startTask(startDelayMs);
        const { clock, fleet } = harness;
        fleet.faults.startDelays = { maxDeliveryMs: 0, maxAnswerMs: 0 };
        harness.resetWorker("w");
        // The second life has just reported.
        await clock.runFor(165);
        harness.resetWorker("w");
        await clock.runFor(10_000);
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.runChecker.countActiveRuns()).toBe(1);
    });

    // Guards against a cancelled task that goes on in the next life, since the former one has answered its stop.
    it("has the run stopped in its next life after the job's cancellation", async () => {
        const harness = await startTask(200);
        const { clock } = harness;
        void harness.cancel("job");
        await clock.runFor(60);
        harness.resetWorker("w");
        await clock.runFor(10_000);
        expect(harness.events.some(event => event.includes("worker-reborn"))).toBe(true);
        expect(harness.runChecker.countActiveRuns()).toBe(0);
    });

    it("gets no start until its new life has reported", () => {
        const worker = createTrackedWorker("w");
        worker.life.noteAnswer(1);
        worker.bornMs = 1;
        worker.hasReported = true;
        worker.answeredAtMs = 10;
        expect(computeStartsLeft(worker, 20)).toBeGreaterThan(0);
        worker.life.noteAnswer(2);
        expect(computeStartsLeft(worker, 20)).toBe(0);
    });
});
