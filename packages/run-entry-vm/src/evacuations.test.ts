import { describe, expect, it } from "@jest/globals";
import type { QueueConfig } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { TakeoverHarness } from "./testing/takeoverHarness.js";

const FOREVER_MS = 600_000;
const TASKS = 20;
/** Time in which VMs choose a coordinator and its takeover ends, in milliseconds. */
const TAKEOVER_MS = 8000;
/** From this time after the store has acknowledged the record no task may start, in milliseconds. */
const EVACUATION_MS = 5000;
/** Time in which all tasks of a job start, in milliseconds. */
const START_MS = 2000;

const queue: QueueConfig = {
    name: "queue",
    host: "host",
    pathPrefix: "/queue/",
    service: "service",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    targetLatencyMs: 1000,
};

/** Creates three VMs, of which `first` coordinates, with a worker in each of two failure domains. */
async function createHarness(usesRelays = false): Promise<TakeoverHarness> {
    const harness = new TakeoverHarness(createRandom(1), () => FOREVER_MS, usesRelays);
    ["a", "b"].forEach(domain => harness.addWorker(domain, domain));
    harness.startVm("first");
    await harness.clock.runFor(TAKEOVER_MS);
    ["second", "third"].forEach(vm => harness.startVm(vm));
    await harness.clock.runFor(TAKEOVER_MS);
    expect(harness.coordinator).toBe("first");
    return harness;
}

function submitTasks(harness: TakeoverHarness, id: string): void {
    const steps = [createStep({ longRunning: true, cpuMillis: 100, memoryMb: 100, taskCount: TASKS })];
    harness.submit(id, { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, queue);
}

function countRuns(harness: TakeoverHarness, worker: string): number {
    return harness.fleet.workers.get(worker)?.countRuns() ?? 0;
}

describe("An evacuated failure domain", () => {
    it.each([false, true])("gets no start after the record, across a takeover; with relays: %s", async usesRelays => {
        const harness = await createHarness(usesRelays);
        submitTasks(harness, "earlier");
        await harness.clock.runFor(START_MS);
        const before = countRuns(harness, "a");
        expect(before).toBeGreaterThan(0);
        void harness.setEvacuated("a", true);
        await harness.clock.runFor(EVACUATION_MS);
        submitTasks(harness, "later");
        await harness.clock.runFor(START_MS);
        harness.stopVm("first");
        submitTasks(harness, "last");
        await harness.clock.runFor(TAKEOVER_MS);
        expect(countRuns(harness, "a")).toBe(before);
        expect(harness.runChecker.countActiveRuns()).toBe(3 * TASKS);
        void harness.setEvacuated("a", false);
        await harness.clock.runFor(START_MS);
        submitTasks(harness, "after");
        await harness.clock.runFor(START_MS);
        expect(countRuns(harness, "a")).toBeGreaterThan(before);
        expect(harness.runChecker.violations).toEqual([]);
    });

    describe("when the coordinator can't read the operator's records", () => {
        it("is told of by the other VMs, and its end too", async () => {
            const harness = await createHarness();
            harness.withoutOperatorRecords.add("first");
            // A read that is under way ends.
            await harness.clock.runFor(START_MS);
            void harness.setEvacuated("a", true);
            await harness.clock.runFor(EVACUATION_MS);
            submitTasks(harness, "job");
            await harness.clock.runFor(START_MS);
            expect(harness.coordinator).toBe("first");
            expect(countRuns(harness, "a")).toBe(0);
            expect(countRuns(harness, "b")).toBe(TASKS);
            void harness.setEvacuated("a", false);
            await harness.clock.runFor(START_MS);
            submitTasks(harness, "after");
            await harness.clock.runFor(START_MS);
            expect(countRuns(harness, "a")).toBeGreaterThan(0);
        });
    });

    describe("when another VM can't read the operator's records and then coordinates", () => {
        it("is known to it from the former coordinator", async () => {
            const harness = await createHarness();
            ["second", "third"].forEach(vm => harness.withoutOperatorRecords.add(vm));
            await harness.clock.runFor(START_MS);
            void harness.setEvacuated("a", true);
            await harness.clock.runFor(EVACUATION_MS);
            harness.stopVm("first");
            submitTasks(harness, "job");
            await harness.clock.runFor(TAKEOVER_MS);
            expect(["second", "third"]).toContain(harness.coordinator);
            expect(countRuns(harness, "a")).toBe(0);
            expect(countRuns(harness, "b")).toBe(TASKS);
        });
    });

    describe("when a coordinator has never read the operator's records", () => {
        it("may be any: nothing starts until another VM has told it", async () => {
            const harness = new TakeoverHarness(createRandom(1), () => FOREVER_MS);
            ["a", "b"].forEach(domain => harness.addWorker(domain, domain));
            void harness.setEvacuated("a", true);
            harness.withoutOperatorRecords.add("first");
            harness.startVm("first");
            submitTasks(harness, "job");
            await harness.clock.runFor(3 * TAKEOVER_MS);
            expect(harness.coordinator).toBe("first");
            expect(harness.runChecker.countActiveRuns()).toBe(0);
            harness.startVm("second");
            await harness.clock.runFor(START_MS);
            expect([countRuns(harness, "a"), countRuns(harness, "b")]).toEqual([0, TASKS]);
        });
    });
});
