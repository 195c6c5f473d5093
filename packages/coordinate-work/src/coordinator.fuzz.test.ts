import { describe, expect, it } from "@jest/globals";
import { JobState } from "@sardinestage/describe-work";
import { FaultScenario } from "./testing/faultScenario.js";

const SEEDS = Array.from({ length: 32 }, (_unused, index) => 20261204 + index);

async function runAndCheck(scenario: FaultScenario): Promise<void> {
    await scenario.run();
    const { harness } = scenario;
    expect(harness.runChecker.violations).toEqual([]);
    for (const id of harness.specs.keys()) {
        const state = await Promise.race([
            harness.coordinator?.getState(id),
            harness.clock.runFor(100).then(() => "unanswered"),
        ]);
        expect({ id, state }).toEqual({
            id,
            state: harness.cancelled.has(id) ? expect.anything() : JobState.Completed,
        });
    }
}

describe("Coordinators under random faults", () => {
    describe.each(SEEDS)("with seed %d", seed => {
        it("run no task twice, run steps in order and lose no job", async () => {
            await runAndCheck(new FaultScenario(seed));
        });

        // Guards against more tasks of a step on a worker than the step allows, after a takeover or a late start.
        it("keep all that with a limit of a step's tasks on a worker, which holds too", async () => {
            await runAndCheck(new FaultScenario(seed, { maxWidth: 12, limitsTasksPerWorker: true }));
        });
    });
});
