import { describe, expect, it } from "@jest/globals";
import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const SEED = 38;
/** More processor than a worker has. */
const TOO_MANY_CPU_MILLIS = 20_000;
/** Response time of the store during the takeover, in milliseconds: it reads several pages of jobs. */
const ANSWER_MS = 400;
const WORKERS = ["w0", "w1", "w2", "w3"];
const LASTING_TASKS = 16;
/** A caller of a worker gives up after this time, in milliseconds. */
const CALLER_TIMEOUT_MS = 600;
/** The worker's answers get lost from this time after the term's beginning on, in milliseconds. */
const LOST_AFTER_MS = 1000;
/** The worker gets no call from this time after the term's beginning on, in milliseconds. */
const CUT_OFF_AFTER_MS = 3500;
/** All leases have ended, and all tasks run again, by then. */
const SETTLE_MS = 12_000;

// Guards against a lease that counts as ended too early, as an answer that was kept is applied after later renewals.
describe("A takeover that takes long, of which a worker carries out renewals while its answers get lost", () => {
    it.each([300, 400, 500, 600])("starts no task twice, waiting jobs: %d", async jobs => {
        const harness = new CoordinatorHarness(createRandom(SEED), () => FOREVER_MS);
        WORKERS.forEach(id => void harness.addWorker(id));
        await harness.clock.runFor(50);
        harness.startTerm(false);
        await harness.clock.runFor(500);
        const steps = [createStep({ taskCount: LASTING_TASKS, longRunning: true, maxTasksPerWorker: LASTING_TASKS })];
        void harness.submit(
            "lasting",
            { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 },
            createQueue(),
        );
        const tooLarge = createStep({ cpuMillis: TOO_MANY_CPU_MILLIS });
        const waiting = { payload: "", steps: [tooLarge], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        for (let index = 0; index < jobs; index++) {
            void harness.submit(`waiting${index}`, waiting, createQueue());
        }
        await harness.clock.runFor(5000);
        harness.coordinator?.close();
        await harness.clock.runFor(1500);
        const startedAtMs = harness.clock.getNow();
        const getTermAge = () => harness.clock.getNow() - startedAtMs;
        const { fleet, clock } = harness;
        const renewLease = fleet.renewLease.bind(fleet);
        fleet.renewLease = async (worker, order) => {
            const isLost = worker.id === "w0" && getTermAge() > LOST_AFTER_MS;
            const report = await renewLease(worker, order);
            if (!isLost) {
                return report;
            }
            await waitFor(clock, CALLER_TIMEOUT_MS);
            return { outcome: OrderOutcome.Unknown, clockMs: 0, bornMs: 0, running: [], ended: [] };
        };
        harness.isCutOff = (termOrdinal, workerId) =>
            termOrdinal === 2 && workerId === "w0" && getTermAge() > CUT_OFF_AFTER_MS;
        harness.store.faults.answerMs = ANSWER_MS;
        harness.startTerm(false);
        await harness.clock.runFor(SETTLE_MS);
        expect(harness.runChecker.violations).toEqual([]);
        const running = Array.from({ length: LASTING_TASKS }, (_unused, index) => index)
            .filter(index => harness.runChecker.isRunning({ jobId: "lasting", occurrence: 0, step: 0, index }));
        expect(running).toHaveLength(LASTING_TASKS);
    });
});
