import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import { EvacuationTable } from "@sardinestage/track-evacuations";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const TASKS = 24;

/** Creates a coordinator with a worker in each of three failure domains, which bear the same names. */
async function createHarness(): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(() => 0.5, () => FOREVER_MS);
    for (const domain of ["a", "b", "c"]) {
        harness.workerTraits = { clockRate: 1, getDemand: undefined, domain };
        void harness.addWorker(domain);
    }
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(1000);
    return harness;
}

function submitTasks(harness: CoordinatorHarness, id: string, taskCount = TASKS): void {
    const steps = [createStep({ longRunning: true, cpuMillis: 100, memoryMb: 100, taskCount })];
    const spec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    void harness.submit(id, spec, createQueue());
}

function listRunCounts({ fleet }: CoordinatorHarness): readonly number[] {
    return ["a", "b", "c"].map(id => fleet.workers.get(id)?.countRuns() ?? 0);
}

describe("The evacuation of a failure domain", () => {
    describe("when its record has been read", () => {
        it("lets running tasks go on, and lets no task start there, also after a takeover", async () => {
            const harness = await createHarness();
            submitTasks(harness, "earlier");
            await harness.clock.runFor(1000);
            const [before] = listRunCounts(harness);
            expect(before).toBeGreaterThan(0);
            harness.evacuations.applyRecord({ domain: "a", isEvacuated: true }, 1, "store");
            submitTasks(harness, "later");
            await harness.clock.runFor(500);
            harness.startTerm(false);
            submitTasks(harness, "last");
            await harness.clock.runFor(10_000);
            expect(listRunCounts(harness)[0]).toBe(before);
            expect(harness.runChecker.countActiveRuns()).toBe(3 * TASKS);
            expect(harness.events.filter(event => event.includes("term 2 evacuation-started"))).toHaveLength(1);
        });

        it("says that tasks wait for it, and what capacity it takes away", async () => {
            const harness = await createHarness();
            ["a", "b", "c"].forEach((domain, index) =>
                harness.evacuations.applyRecord({ domain, isEvacuated: true }, index, "store")
            );
            submitTasks(harness, "job");
            await harness.clock.runFor(6000);
            expect(harness.runChecker.countActiveRuns()).toBe(0);
            const lines = harness.events.join("\n");
            expect(lines).toContain(`"forEvacuated":${TASKS}`);
            expect(lines).toMatch(/long-running-idle .*"reason":"Evacuated"/);
            expect(lines).toMatch(/evacuation-started .*"domain":"a","offset":0.*"freeCpuMillis":16000/);
        });
    });

    describe("when two overlap", () => {
        it("brings the workers of each domain back once its own ends", async () => {
            const harness = await createHarness();
            harness.evacuations.applyRecord({ domain: "a", isEvacuated: true }, 1, "store");
            harness.evacuations.applyRecord({ domain: "b", isEvacuated: true }, 2, "store");
            submitTasks(harness, "first");
            await harness.clock.runFor(1000);
            expect(listRunCounts(harness)).toEqual([0, 0, TASKS]);
            harness.evacuations.applyRecord({ domain: "a", isEvacuated: false }, 3, "store");
            await harness.clock.runFor(500);
            submitTasks(harness, "second");
            await harness.clock.runFor(1000);
            const [countA, countB] = listRunCounts(harness);
            expect([countA > 0, countB]).toEqual([true, 0]);
        });
    });

    describe("when starts are recorded but not sent yet", () => {
        // Guards against orders that were planned before the record was read, and sent after it.
        it("doesn't send them: the tasks start elsewhere", async () => {
            const harness = await createHarness();
            harness.store.faults.answerMs = 300;
            submitTasks(harness, "job");
            while (!harness.events.some(event => event.includes("run-order"))) {
                await harness.clock.runFor(1);
            }
            harness.evacuations.applyRecord({ domain: "a", isEvacuated: true }, 1, "store");
            await harness.clock.runFor(5000);
            expect(harness.events.some(event => event.includes("run-refused") && event.includes("Unsent"))).toBe(true);
            expect(listRunCounts(harness)[0]).toBe(0);
            expect(harness.runChecker.countActiveRuns()).toBe(TASKS);
            expect(harness.runChecker.violations).toEqual([]);
        });

        it("doesn't send those that wait for their turn", async () => {
            const harness = await createHarness();
            harness.sendCostMs = 20;
            submitTasks(harness, "job");
            while (listRunCounts(harness)[0] === 0) {
                await harness.clock.runFor(1);
            }
            harness.evacuations.applyRecord({ domain: "a", isEvacuated: true }, 1, "store");
            // Orders that were handed to the network before arrive within this time.
            await harness.clock.runFor(5);
            const [sent] = listRunCounts(harness);
            await harness.clock.runFor(5000);
            expect(listRunCounts(harness)[0]).toBe(sent);
            expect(sent).toBeLessThan(TASKS / 3);
            expect(harness.runChecker.countActiveRuns()).toBe(TASKS);
        });
    });

    describe("when a new coordinator doesn't know the operator's records", () => {
        it("starts nothing until it does, and keeps what runs", async () => {
            const harness = await createHarness();
            submitTasks(harness, "earlier");
            await harness.clock.runFor(1000);
            harness.evacuations = new EvacuationTable();
            harness.startTerm(false);
            submitTasks(harness, "later");
            await harness.clock.runFor(20_000);
            expect(harness.runChecker.countActiveRuns()).toBe(TASKS);
            harness.evacuations.applyState({ readUpTo: 5, evacuated: [] }, "follower");
            await harness.clock.runFor(1000);
            expect(harness.runChecker.countActiveRuns()).toBe(2 * TASKS);
        });
    });
});
