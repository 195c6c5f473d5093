import { describe, expect, it } from "@jest/globals";
import { formatTaskKey, JobState } from "@sardinestage/describe-work";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { FaultScenario } from "../testing/faultScenario.js";

const SEEDS = Array.from({ length: 24 }, (_unused, index) => 20261206 + index);
const MAX_ATTEMPTS = 2;
const PLAYS = [
    { name: "without a limit of a step's tasks on a worker", limitsTasksPerWorker: false, minCopiesPerSeed: 8 },
    { name: "with a limit", limitsTasksPerWorker: true, minCopiesPerSeed: 2 },
];
const traits = {
    maxWidth: 24,
    speculative: true,
    maxAttempts: MAX_ATTEMPTS,
    /** A tenth of the runs is far slower than the others, so that there is much to copy. */
    pickDuration: (random: () => number) => {
        const duration = (300 + random() * 300) * (random() < 0.1 ? 7 : 1);
        return random() < 0.12 ? -duration : duration;
    },
};

/** The highest number of failed runs that a task of a job has. */
function computeMostFailures(scenario: FaultScenario, id: string, counts: ReadonlyMap<string, number>): number {
    const keys = (scenario.harness.specs.get(id)?.steps ?? []).flatMap(({ taskCount }, step) =>
        Array.from({ length: taskCount }, (_unused, index) => formatTaskKey({ jobId: id, occurrence: 0, step, index }))
    );
    return Math.max(...keys.map(key => counts.get(key) ?? 0));
}

/** Lists the states that a job may have: an end that was lost with its worker or term need not count as an attempt. */
function listAllowedStates(scenario: FaultScenario, id: string): readonly unknown[] {
    const { runChecker } = scenario.harness;
    const hasToFail = computeMostFailures(scenario, id, runChecker.acknowledgedFailureCounts) >= MAX_ATTEMPTS;
    const mayFail = computeMostFailures(scenario, id, runChecker.failureCounts) >= MAX_ATTEMPTS;
    return [...hasToFail ? [] : [JobState.Completed], ...mayFail ? [JobState.Failed] : []];
}

// Guards against more than two runs of a task, starts after its end, and ends that are lost or counted twice, when the
// coordinator or a worker goes away, or a start is carried out late, while a copy runs.
describe.each(PLAYS)("Copies under random faults ($name)", ({ limitsTasksPerWorker, minCopiesPerSeed }) => {
    let copies = 0;

    it.each(SEEDS)("keep all rules of speculative steps with seed %d", async seed => {
        const scenario = new FaultScenario(seed, { ...traits, limitsTasksPerWorker });
        const { harness } = scenario;
        harness.features = { ...noSchedulingFeatures, copiesSlowTasks: true, protectsLastAttempts: true };
        await scenario.run();
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.runChecker.countActiveRuns()).toBe(0);
        for (const id of harness.specs.keys()) {
            const state = await harness.coordinator?.getState(id);
            if (!harness.cancelled.has(id)) {
                expect({ id, isAllowed: listAllowedStates(scenario, id).includes(state) }).toEqual({
                    id,
                    isAllowed: true,
                });
            }
        }
        copies += harness.events.filter(event => event.includes("copy-started")).length;
    });

    it("start many copies", () => {
        expect(copies).toBeGreaterThan(SEEDS.length * minCopiesPerSeed);
    });
});
