import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import type { QueueConfig } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { TakeoverHarness } from "./testing/takeoverHarness.js";

const FIXED_RANDOM = () => 0.5;
const FOREVER_MS = 600_000;
const VMS = ["a", "b", "c"];
const WORKERS = ["w0", "w1", "w2", "w3", "w4", "w5"];
const TASKS = 12;
/** More than an equal part, so that the tasks of a worker that is lost find another one. */
const MAX_TASKS_PER_WORKER = 4;
/** How long the jobs can't be read, in milliseconds: the successor tries to take over several times. */
const PARTLY_DOWN_MS = 4500;
/** How long reads of the jobs are refused, in milliseconds: longer than a coordinator tries to take over. */
const REFUSED_MS = 11_000;
/** When a worker is cut off after the coordinator has ended, in milliseconds. */
const CUT_AFTER_MS = 3400;
const CUT_MS = 8000;
/** All leases have ended, and all tasks run again, by then. */
const SETTLE_MS = 20_000;
const queue: QueueConfig = {
    name: "queue",
    host: "host",
    pathPrefix: "/queue/",
    service: "service",
    priority: 0,
    maxAttempts: 50,
    stretch: 2,
    targetLatencyMs: 1000,
};

/** Starts VMs, workers and a job whose tasks last. */
async function startInstallation(): Promise<TakeoverHarness> {
    const harness = new TakeoverHarness(FIXED_RANDOM, () => FOREVER_MS);
    VMS.forEach(vm => harness.startVm(vm));
    WORKERS.forEach(id => harness.addWorker(id));
    await harness.clock.runFor(3000);
    const steps = [createStep({ taskCount: TASKS, longRunning: true, maxTasksPerWorker: MAX_TASKS_PER_WORKER })];
    harness.submit("lasting", { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, queue);
    await harness.clock.runFor(5000);
    expect(harness.runChecker.countActiveRuns()).toBe(TASKS);
    return harness;
}

function stopCoordinator(harness: TakeoverHarness): void {
    const { coordinator } = harness;
    expect(coordinator).toBeDefined();
    harness.stopVm(coordinator ?? "");
}

describe("A takeover whose first tries fail, as a topic of the store can't be read", () => {
    // Guards against a try that doesn't know which leases the failed ones before it have extended (review/8, TWICE).
    it.each([
        { name: "jobs", topic: Topic.Jobs },
        { name: "progress", topic: Topic.Progress },
        { name: "workers", topic: Topic.Workers },
    ])(
        "runs no task twice if a worker is cut off meanwhile, topic: $name",
        async ({ topic }) => {
            const harness = await startInstallation();
            harness.store.faults.silentTopics.add(topic);
            harness.clock.schedule(PARTLY_DOWN_MS, () => harness.store.faults.silentTopics.clear());
            stopCoordinator(harness);
            await harness.clock.runFor(CUT_AFTER_MS);
            const cut = harness.fleet.workers.get("w0");
            Object.assign(cut ?? {}, { isUnreachable: true });
            harness.clock.schedule(CUT_MS, () => Object.assign(cut ?? {}, { isUnreachable: false }));
            await harness.clock.runFor(SETTLE_MS);
            expect(harness.events.some(event => event.includes("takeover-failed"))).toBe(true);
            expect(harness.runChecker.violations).toEqual([]);
            expect(harness.runChecker.countActiveRuns()).toBe(TASKS);
        },
    );

    // Guards against a process that begins a term anew without knowing what it ordered in that term.
    it("isn't tried again in a term that was given up, but in a later one", async () => {
        const harness = await startInstallation();
        VMS.filter(vm => vm !== harness.coordinator).forEach(vm => harness.stopVm(vm));
        const vm = harness.coordinator ?? "";
        harness.store.faults.refusedTopics.add(Topic.Jobs);
        harness.stopVm(vm);
        harness.startVm(vm);
        await harness.clock.runFor(REFUSED_MS);
        harness.store.faults.refusedTopics.clear();
        await harness.clock.runFor(SETTLE_MS);
        const terms = harness.events.flatMap(event => / term-won \{"term":(\d+)/.exec(event)?.[1] ?? []);
        expect(harness.events.filter(event => event.includes("\"reason\":\"takeover-failed\"")).length).toBeGreaterThan(
            1,
        );
        expect(terms).toEqual([...new Set(terms)]);
        expect(harness.runChecker.violations).toEqual([]);
        expect(harness.runChecker.countActiveRuns()).toBe(TASKS);
    });
});
