import { describe, expect, it, jest } from "@jest/globals";
import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
const TASK_MS = 100;

describe("A start that a worker refuses since the run has ended there", () => {
    // Guards against a run that succeeded and is started again before its end is read.
    it("isn't repeated: the next report tells how the run ended", async () => {
        const harness = new CoordinatorHarness(FIXED_RANDOM, () => TASK_MS);
        const { clock, fleet, runChecker } = harness;
        void harness.addWorker("w");
        await clock.runFor(50);
        fleet.faults.renewalDelays = { maxDeliveryMs: 0, maxAnswerMs: 500 };
        harness.startTerm(false);
        await clock.runFor(2000);
        const startRun = fleet.start.bind(fleet);
        const starts = jest.spyOn(fleet, "start").mockImplementation(async (worker, order) => {
            await startRun(worker, order);
            await waitFor(clock, TASK_MS * 2);
            return OrderOutcome.RunEnded;
        });
        const spec = { payload: "", steps: [createStep()], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        void harness.submit("job", spec, createQueue());
        await clock.runFor(5000);
        expect(starts).toHaveBeenCalledTimes(1);
        expect(runChecker.violations).toEqual([]);
        expect(await harness.coordinator?.getState("job")).toBe(JobState.Completed);
    });
});
