import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
const TERM = 1_000_000;
const NEVER_MS = 1e9;

describe("A worker whose next life carries out an unanswered start before it hears of the newest fencing token", () => {
    // Guards against a task that is started elsewhere by the very report that lists an earlier run of it as active.
    it("has the task started again only after that run has ended", async () => {
        const harness = new CoordinatorHarness(FIXED_RANDOM, () => 6000);
        const { clock, fleet, runChecker } = harness;
        void harness.addWorker("w");
        await clock.runFor(50);
        harness.startTerm(false);
        await clock.runFor(1500);
        Object.assign(fleet.faults, { delayedShare: 1, minDelayMs: NEVER_MS, maxDelayMs: NEVER_MS });
        const spec = { payload: "", steps: [createStep()], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        void harness.submit("job", spec, createQueue());
        await clock.runFor(300);
        fleet.faults.delayedShare = 0;
        await clock.runFor(4000);
        const orders = harness.events.filter(event => event.includes("run-order"));
        expect(orders.map(event => /"run":(\d)/.exec(event)?.[1])).toEqual(["1", "2"]);
        expect(runChecker.countActiveRuns()).toBe(1);
        void harness.addWorker("other");
        await clock.runFor(1500);
        harness.resetWorker("w");
        await clock.runFor(1);
        const task = { jobId: "job", occurrence: 0, step: 0, index: 0 };
        // The start of run 1, which was under way all the time.
        fleet.workers.get("w")?.start({
            task,
            run: 1,
            payload: "",
            leaseUntilMs: 10_000,
            fence: TERM,
            checkpoint: "",
            ticket: "",
        });
        expect(runChecker.countActiveRuns()).toBe(1);
        await clock.runFor(20_000);
        expect(runChecker.violations).toEqual([]);
        expect(runChecker.completedTasks.size).toBe(1);
    });
});
