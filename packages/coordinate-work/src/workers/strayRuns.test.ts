import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
/** Tasks of one core each that fill an emulated worker, which starts whatever it is told to start. */
const FULL = 16;
const ROUNDS = 4;
const TASK_MS = 60_000;
/** Stops take 300 ms; the takeover and the first starts after it take less than the rest. */
const WATCHED_MS = 1500;
const SAMPLE_MS = 5;

function createFullJob(): JobSpec {
    return { payload: "", steps: [createStep({ taskCount: FULL })], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

// Guards against a coordinator that starts tasks beside runs of ended jobs that its predecessor was still stopping.
describe("A worker that doesn't guard its capacity", () => {
    it("is never filled beyond it when a job is cancelled around a hand-over", async () => {
        const harness = new CoordinatorHarness(FIXED_RANDOM, () => TASK_MS);
        const { clock, runChecker } = harness;
        void harness.addWorker("w");
        await clock.runFor(50);
        harness.startTerm(false);
        void harness.submit("job0", createFullJob(), createQueue());
        await clock.runFor(2000);
        let mostRuns = runChecker.countActiveRuns();
        expect(mostRuns).toBe(FULL);
        for (let round = 0; round < ROUNDS; round++) {
            void harness.submit(`job${round + 1}`, createFullJob(), createQueue());
            await clock.runFor(300);
            void harness.cancel(`job${round}`);
            // The cancellation is recorded and the stops are sent, but the worker is still carrying them out.
            await clock.runFor(60);
            harness.coordinator?.close();
            harness.startTerm(false);
            for (let passed = 0; passed < WATCHED_MS; passed += SAMPLE_MS) {
                await clock.runFor(SAMPLE_MS);
                mostRuns = Math.max(mostRuns, runChecker.countActiveRuns());
            }
            await clock.runFor(1500);
            expect(runChecker.countActiveRuns()).toBe(FULL);
        }
        expect(mostRuns).toBe(FULL);
        expect(runChecker.violations).toEqual([]);
    });
});
