import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import type { JobSpec, StepSpec } from "@sardinestage/describe-work";
import { WorkerState } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const SEED = 35;
/** Run-to-completion work that takes far longer than a long-running task may be without a run, in milliseconds. */
const LONG_MS = 20_000;
/** A long-running task may be without a run for so long while nothing unplanned happens, in milliseconds. */
const MAX_CALM_WAIT_MS = 3000;
/** A long-running task may be without a run for so long after its worker has gone, in milliseconds. */
const MAX_WAIT_MS = 9000;
const SAMPLE_MS = 20;
const WORKERS = ["w0", "w1", "w2", "w3"];
const LASTING_JOBS = 10;
const LASTING_TASKS = 4;

function createSpec(changes: Partial<StepSpec>): JobSpec {
    return { payload: "", steps: [createStep(changes)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** Creates a fleet that is full of long-running tasks and of long run-to-completion tasks of lower priority. */
async function createFullFleet(): Promise<CoordinatorHarness> {
    const getDuration = ({ jobId }: { jobId: string }) => jobId === "ending" ? LONG_MS : FOREVER_MS;
    const harness = new CoordinatorHarness(createRandom(SEED), getDuration);
    WORKERS.forEach(id => void harness.addWorker(id));
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(500);
    for (let job = 0; job < LASTING_JOBS; job++) {
        const spec = createSpec({ taskCount: LASTING_TASKS, longRunning: true, memoryMb: 3000 });
        void harness.submit(`lasting${job}`, spec, createQueue());
    }
    await harness.clock.runFor(4000);
    const ending = createSpec({ taskCount: 4000, cpuMillis: 2000, memoryMb: 4000 });
    void harness.submit("ending", ending, createQueue({ priority: 2 }));
    await harness.clock.runFor(6000);
    return harness;
}

/** Measures the longest time without a run of any long-running task from now on, in milliseconds. */
async function measureLongestWait(harness: CoordinatorHarness, lengthMs: number): Promise<number> {
    const idleSince = new Map<string, number>();
    let longestMs = 0;
    for (let passedMs = 0; passedMs < lengthMs; passedMs += SAMPLE_MS) {
        await harness.clock.runFor(SAMPLE_MS);
        const nowMs = harness.clock.getNow();
        for (let task = 0; task < LASTING_JOBS * LASTING_TASKS; task++) {
            const jobId = `lasting${Math.floor(task / LASTING_TASKS)}`;
            const ref = { jobId, occurrence: 0, step: 0, index: task % LASTING_TASKS };
            const key = `${jobId}/${ref.index}`;
            if (harness.runChecker.isRunning(ref)) {
                idleSince.delete(key);
                continue;
            }
            const sinceMs = idleSince.get(key) ?? nowMs;
            idleSince.set(key, sinceMs);
            longestMs = Math.max(longestMs, nowMs - sinceMs);
        }
    }
    return longestMs;
}

describe("Long-running tasks on a fleet that is full of work of lower priority which takes long to end", () => {
    describe("when their worker drains", () => {
        it("run elsewhere in time, in place of that work", async () => {
            const harness = await createFullFleet();
            const entry = harness.fleet.workers.get("w1")?.describeEntry();
            const draining = { ...entry, state: WorkerState.Draining, remainingMs: LONG_MS };
            void harness.appendUntilConfirmed(Topic.Workers, {
                key: "w1",
                value: Buffer.from(JSON.stringify(draining)),
            });
            expect(await measureLongestWait(harness, 16_000)).toBeLessThanOrEqual(MAX_CALM_WAIT_MS);
            expect(harness.runChecker.violations).toEqual([]);
        });
    });

    describe("when their worker goes", () => {
        it("run elsewhere in time, in place of that work", async () => {
            const harness = await createFullFleet();
            harness.stopWorker("w1");
            expect(await measureLongestWait(harness, 16_000)).toBeLessThanOrEqual(MAX_WAIT_MS);
            expect(harness.runChecker.violations).toEqual([]);
        });
    });
});
