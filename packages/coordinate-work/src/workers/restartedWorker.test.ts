import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
const SHORT_MS = 150;
const LONG_MS = 600_000;
/** Moments within a poll of one second, in milliseconds. */
const OFFSETS_MS = Array.from({ length: 20 }, (_unused, index) => index * 50);

function createSpec(taskCount: number, longRunning = false): JobSpec {
    return {
        payload: "",
        steps: [createStep({ taskCount, longRunning })],
        repeatCount: 0,
        firstRunMs: 0,
        intervalMs: 0,
    };
}

/** Replaces a worker by its next life under the same id; calls to the former life get no answer. */
async function resetWorker(harness: CoordinatorHarness): Promise<void> {
    const former = harness.fleet.workers.get("w");
    Object.assign(former ?? {}, { isUnreachable: true });
    former?.stopAbruptly();
    await harness.clock.runFor(1);
    void harness.addWorker("w");
}

describe("A worker that restarts at once under its id", () => {
    // Guards against ends of the new life that are acknowledged by a number of the former one and so forgotten unread.
    it("has each of its tasks run to its end once", async () => {
        const harness = new CoordinatorHarness(FIXED_RANDOM, () => SHORT_MS);
        const { clock, runChecker } = harness;
        void harness.addWorker("w");
        await clock.runFor(50);
        harness.startTerm(false);
        for (let round = 0; round < 4; round++) {
            void harness.submit(`earlier${round}`, createSpec(24), createQueue());
            await clock.runFor(2000);
            await resetWorker(harness);
            void harness.submit(`later${round}`, createSpec(8), createQueue());
            await clock.runFor(6000);
        }
        await clock.runFor(12_000);
        expect(runChecker.violations).toEqual([]);
        expect(runChecker.completedTasks.size).toBe(4 * (24 + 8));
    });

    // Guards against a lease that the coordinator took for shorter than the worker did: the runs were started again.
    it.each(OFFSETS_MS)(
        "%d ms into a poll and is cut off after, has its tasks run nowhere else meanwhile",
        async offsetMs => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => LONG_MS);
            const { clock, runChecker } = harness;
            void harness.addWorker("w");
            await clock.runFor(50);
            harness.startTerm(false);
            // The former life's clock is far ahead of the next one's.
            await clock.runFor(30_000 + offsetMs);
            await resetWorker(harness);
            void harness.submit("job", createSpec(8, true), createQueue());
            let passedMs = 0;
            while (!harness.events.some(event => event.includes("worker-reborn")) && passedMs < 5000) {
                await clock.runFor(1);
                passedMs++;
            }
            Object.assign(harness.fleet.workers.get("w") ?? {}, { isUnreachable: true });
            void harness.addWorker("other");
            await clock.runFor(20_000);
            expect(runChecker.violations).toEqual([]);
            expect(runChecker.countActiveRuns()).toBe(8);
        },
    );
});
