import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const DELAYS_MS = [0, 5, 50, 300];
const FIXED_RANDOM = () => 0.5;
const TASK_MS = 500;
const JOB_INTERVAL_MS = 40;
const JOBS = 100;
/** Moments of the restart within a poll of one second, in milliseconds. */
const MOMENTS_MS = Array.from({ length: 20 }, (_unused, index) => 2000 + index * 50);

describe("A worker that restarts at once under its id while jobs keep coming", () => {
    // Guards against a start that the new life has accepted, given up on that life's first report, which was older.
    describe.each(DELAYS_MS)("and whose reports arrive %d ms late", delayMs => {
        it.each(MOMENTS_MS)("has no task run twice if it restarts after %d ms", async momentMs => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => TASK_MS);
            const { clock, fleet, runChecker } = harness;
            // Half of the maximum is drawn each time.
            fleet.faults.renewalDelays = { maxDeliveryMs: 0, maxAnswerMs: delayMs * 2 };
            const spec = { payload: "", steps: [createStep()], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
            void harness.addWorker("w");
            await clock.runFor(50);
            harness.startTerm(false);
            clock.schedule(momentMs, () => harness.resetWorker("w"));
            for (let job = 0; job < JOBS; job++) {
                void harness.submit(`job${job}`, spec, createQueue());
                await clock.runFor(JOB_INTERVAL_MS);
            }
            await clock.runFor(8000);
            expect(runChecker.violations).toEqual([]);
            expect(runChecker.completedTasks.size).toBe(JOBS);
        });
    });
});
