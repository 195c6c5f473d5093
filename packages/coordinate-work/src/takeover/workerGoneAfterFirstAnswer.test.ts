import { describe, expect, it } from "@jest/globals";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const SEED = 38;
const WORKERS = ["w0", "w1", "w2", "w3"];
const LASTING_TASKS = 16;
const WAITING_TASKS = 8;
/** The list of workers is complete after 2 s; the rest is for a read of it, a round and the starts. */
const MAX_GATE_MS = 3000;
/** All leases have ended by then. */
const SETTLE_MS = 8000;

// Guards against starts that wait for the lease of a worker whose runs are known by an answer that wasn't applied.
describe("A takeover that may find unrecorded runs, of which a worker answers the first calls only", () => {
    it.each([1, 2])("starts other tasks once the list is complete, answers: %d", async answers => {
        const harness = new CoordinatorHarness(createRandom(SEED), () => FOREVER_MS);
        WORKERS.forEach(id => void harness.addWorker(id));
        await harness.clock.runFor(50);
        harness.startTerm(false);
        await harness.clock.runFor(500);
        const submit = (id: string, taskCount: number) => {
            const steps = [createStep({ taskCount, longRunning: true, maxTasksPerWorker: LASTING_TASKS })];
            const spec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
            void harness.submit(id, spec, createQueue());
        };
        submit("lasting", LASTING_TASKS);
        await harness.clock.runFor(5000);
        harness.coordinator?.close();
        submit("waiting", WAITING_TASKS);
        await harness.clock.runFor(1500);
        let calls = 0;
        harness.isCutOff = (termOrdinal, workerId) => termOrdinal === 2 && workerId === "w0" && calls++ >= answers;
        harness.startTerm(true);
        await harness.clock.runFor(MAX_GATE_MS);
        const countRunning = (jobId: string, count: number) =>
            Array.from({ length: count }, (_unused, index) => index)
                .filter(index => harness.runChecker.isRunning({ jobId, occurrence: 0, step: 0, index })).length;
        expect(countRunning("waiting", WAITING_TASKS)).toBe(WAITING_TASKS);
        await harness.clock.runFor(SETTLE_MS - MAX_GATE_MS);
        expect(countRunning("lasting", LASTING_TASKS)).toBe(LASTING_TASKS);
        expect(harness.runChecker.violations).toEqual([]);
    });
});
