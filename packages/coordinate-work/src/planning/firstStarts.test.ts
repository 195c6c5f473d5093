import { describe, expect, it } from "@jest/globals";
import type { JobSpec, StepSpec } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const SEED = 38;
/** A task that is to last may be without a run for so long, however full the service is, in milliseconds. */
const MAX_WAIT_MS = 7000;
const WORKERS = ["w0", "w1", "w2", "w3"];
/** Long-running tasks that wait for their first start, larger than the small tasks that come free one by one. */
const LASTING_TASKS = 4;

function createSpec(changes: Partial<StepSpec>): JobSpec {
    return { payload: "", steps: [createStep(changes)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

// Guards against a long-running task that never starts, as smaller tasks of its priority take each piece of capacity.
describe("Long-running tasks that have never run, on a fleet that is full of smaller tasks of the same priority", () => {
    it.each([false, true].flatMap(reservesCapacity =>
        [
            { shortMs: 500, takeoversMs: [] },
            { shortMs: 1000, takeoversMs: [] },
            { shortMs: 2500, takeoversMs: [] },
            { shortMs: 1000, takeoversMs: [1500] },
            { shortMs: 1000, takeoversMs: [1800, 3600, 5400] },
        ].map(each => ({ ...each, reservesCapacity }))
    ))("start in time while tasks keep coming: %j", async options => {
        const { shortMs, takeoversMs, reservesCapacity } = options;
        const harness = new CoordinatorHarness(
            createRandom(SEED),
            ({ jobId, index }) => jobId === "short" ? shortMs * (0.5 + (index * 37 % 100) / 100) : FOREVER_MS,
        );
        harness.features = { ...noSchedulingFeatures, reservesCapacity };
        WORKERS.forEach(id => void harness.addWorker(id));
        await harness.clock.runFor(50);
        harness.startTerm(false);
        await harness.clock.runFor(500);
        void harness.submit(
            "base",
            createSpec({ taskCount: 8, longRunning: true, cpuMillis: 3000 }),
            createQueue(),
        );
        await harness.clock.runFor(2000);
        void harness.submit(
            "short",
            createSpec({ taskCount: 4000, cpuMillis: 2000, estimateMs: shortMs }),
            createQueue(),
        );
        await harness.clock.runFor(3000);
        void harness.submit(
            "lasting",
            createSpec({
                taskCount: LASTING_TASKS,
                longRunning: true,
                cpuMillis: 5000,
            }),
            createQueue(),
        );
        takeoversMs.forEach(atMs => harness.clock.schedule(atMs, () => harness.startTerm(false)));
        await harness.clock.runFor(MAX_WAIT_MS);
        const started = Array.from({ length: LASTING_TASKS }, (_, index) => index)
            .filter(index => harness.runChecker.isRunning({ jobId: "lasting", occurrence: 0, step: 0, index }));
        expect(started).toHaveLength(LASTING_TASKS);
        expect(harness.runChecker.violations).toEqual([]);
    });
});
