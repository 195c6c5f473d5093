import { describe, expect, it } from "@jest/globals";
import { ReadOutcome, Topic, waitFor } from "@sardinestage/describe-ports";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
const TASKS = 6;
/** Times from the answer that lists the worker's last end to the worker's exit, in milliseconds. */
const STAYS_MS = [0, 100];
/** Times that the answers to lease renewals are on their way, in milliseconds. */
const DELAYS_MS = [0, 50, 150, 300];
/** The fencing token of the harness's first term before its first renewal, and of orders to a worker's first life. */
const FIRST_FENCE = 1_000_000;
/** Each task's lease has expired, and each of its runs would have been started again, after this, in milliseconds. */
const LEASE_OVER_MS = 20_000;

function createSpec(taskCount: number): JobSpec {
    return { payload: "", steps: [createStep({ taskCount })], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** Has a worker leave once answers have listed all its ends. */
async function stopWhenListed(harness: CoordinatorHarness, id: string, stayMs: number): Promise<void> {
    const worker = harness.fleet.workers.get(id);
    for (let passedMs = 0; passedMs < 15_000 && worker?.hasListedAllEnds !== true; passedMs++) {
        await harness.clock.runFor(1);
    }
    expect(worker?.hasListedAllEnds).toBe(true);
    await harness.clock.runFor(stayMs);
    harness.stopWorker(id);
}

/** Checks that the job's tasks have ended, and that each of them was started once. */
function checkEachRanOnce(harness: CoordinatorHarness, job: string, taskCount = TASKS): void {
    const starts = Array.from(
        { length: taskCount },
        (_unused, index) => harness.runChecker.countStarts({ jobId: job, occurrence: 0, step: 0, index }),
    );
    expect(starts).toEqual(starts.map(() => 1));
    expect(harness.runChecker.violations).toEqual([]);
    expect(harness.events.filter(event => event.includes("run-lost"))).toEqual([]);
    expect(harness.events.some(event => event.includes("job-ended"))).toBe(true);
}

/** Starts a job on the only worker, each of whose runs lasts as long as given. */
async function startJob(runMs: number, prepare: (harness: CoordinatorHarness) => void): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(FIXED_RANDOM, () => runMs);
    prepare(harness);
    void harness.addWorker("w");
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(1000);
    void harness.submit("job", createSpec(TASKS), createQueue());
    while (harness.runChecker.countActiveRuns() < TASKS) {
        await harness.clock.runFor(1);
    }
    void harness.addWorker("other");
    return harness;
}

/** Waits until the only worker with runs counts as silent, and these runs have ended. */
async function waitUntilSilent(harness: CoordinatorHarness): Promise<void> {
    const isSilent = () => harness.events.some(event => event.includes("worker-silent"));
    while (!isSilent() || harness.runChecker.countActiveRuns() > 0) {
        await harness.clock.runFor(1);
    }
}

/** Holds the answers to lease renewals up. Half of the maximum is drawn each time. */
function setAnswerDelay(harness: CoordinatorHarness, delayMs: number): void {
    harness.fleet.faults.renewalDelays = { maxDeliveryMs: 0, maxAnswerMs: delayMs * 2 };
}

const cases = STAYS_MS.flatMap(stayMs => DELAYS_MS.map(delayMs => ({ stayMs, delayMs })));

// Guards against ends in an answer that isn't applied as a report: the worker that listed them was gone before it was
// asked again, and its tasks ran again although they had ended as done.
describe("A worker that leaves once it has listed its last ends", () => {
    it.each(cases)("has no task run again: $stayMs ms later, answers take $delayMs ms", async ({ stayMs, delayMs }) => {
        const harness = await startJob(2000, made => setAnswerDelay(made, delayMs));
        await stopWhenListed(harness, "w", stayMs);
        await harness.clock.runFor(LEASE_OVER_MS);
        checkEachRanOnce(harness, "job");
    });

    it.each(cases)(
        "has no task run again after renewals that it missed: $stayMs ms later, answers take $delayMs ms",
        async ({ stayMs, delayMs }) => {
            const harness = await startJob(2000, made => setAnswerDelay(made, delayMs));
            const worker = harness.fleet.workers.get("w");
            Object.assign(worker ?? {}, { isUnreachable: true });
            await waitUntilSilent(harness);
            Object.assign(worker ?? {}, { isUnreachable: false });
            await stopWhenListed(harness, "w", stayMs);
            await harness.clock.runFor(LEASE_OVER_MS);
            checkEachRanOnce(harness, "job");
        },
    );

    it.each(cases)(
        "has no task run again if the coordinator is short of CPU: $stayMs ms later, answers take $delayMs ms",
        async ({ stayMs, delayMs }) => {
            const harness = await startJob(2000, made => {
                setAnswerDelay(made, delayMs);
                made.loopDelayMs = 100;
                made.callCostMs = 5;
            });
            await stopWhenListed(harness, "w", stayMs);
            await harness.clock.runFor(LEASE_OVER_MS);
            checkEachRanOnce(harness, "job");
        },
    );

    it.each(cases)(
        "has no task run again if a takeover isn't complete: $stayMs ms later, answers take $delayMs ms",
        async ({ stayMs, delayMs }) => {
            const harness = await startJob(2500, made => setAnswerDelay(made, delayMs));
            const large = { ...createSpec(1), steps: [createStep({ cpuMillis: 20_000 })] };
            for (let job = 0; job < 600; job++) {
                void harness.submit(`large${job}`, large, createQueue({ priority: 1 }));
            }
            await harness.clock.runFor(700);
            harness.coordinator?.close();
            harness.store.faults.answerMs = 300;
            harness.startTerm(false);
            await stopWhenListed(harness, "w", stayMs);
            expect(harness.coordinator?.isReady).toBe(false);
            await harness.clock.runFor(LEASE_OVER_MS);
            expect(harness.coordinator?.isReady).toBe(true);
            checkEachRanOnce(harness, "job");
        },
    );

    it.each(cases)(
        "has no task run again if the coordinator lacks authority: $stayMs ms later, answers take $delayMs ms",
        async ({ stayMs, delayMs }) => {
            const harness = await startJob(2000, made => setAnswerDelay(made, delayMs));
            harness.hasAuthority = false;
            await stopWhenListed(harness, "w", stayMs);
            await harness.clock.runFor(4000);
            harness.hasAuthority = true;
            await harness.clock.runFor(LEASE_OVER_MS);
            checkEachRanOnce(harness, "job");
        },
    );

    it.each(cases)(
        "has no task run again that its next life ran: $stayMs ms later, answers take $delayMs ms",
        async ({ stayMs, delayMs }) => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => 20);
            const { clock, fleet } = harness;
            void harness.addWorker("w");
            await clock.runFor(50);
            harness.startTerm(false);
            await clock.runFor(5000);
            fleet.faults.startDelays = { maxDeliveryMs: 200, maxAnswerMs: 0 };
            setAnswerDelay(harness, delayMs);
            void harness.submit("job", createSpec(1), createQueue());
            while (!harness.events.some(event => event.includes("run-order"))) {
                await clock.runFor(1);
            }
            await clock.runFor(10);
            harness.resetWorker("w");
            await clock.runFor(2);
            void harness.addWorker("other");
            await stopWhenListed(harness, "w", stayMs);
            await clock.runFor(LEASE_OVER_MS);
            checkEachRanOnce(harness, "job", 1);
        },
    );

    it.each(DELAYS_MS)(
        "has no task run again of a job that is read only after it has left, answers take %d ms",
        async delayMs => {
            const harness = new CoordinatorHarness(FIXED_RANDOM, () => 200);
            const { clock, fleet, store } = harness;
            void harness.addWorker("w");
            void harness.addWorker("other");
            await clock.runFor(50);
            harness.startTerm(false);
            setAnswerDelay(harness, delayMs);
            const read = store.read.bind(store);
            let isHeld = true;
            store.read = async (topic, from, waitMs) => {
                if (!isHeld || topic !== Topic.Jobs) {
                    return read(topic, from, waitMs);
                }
                await waitFor(clock, 20);
                return { outcome: ReadOutcome.Failed, records: [], next: from };
            };
            // Calls that wait for the next record come to their end.
            await clock.runFor(10_000);
            void harness.submit("job", createSpec(1), createQueue());
            await clock.runFor(50);
            // A start of an earlier coordinator.
            fleet.workers.get("w")?.start({
                task: { jobId: "job", occurrence: 0, step: 0, index: 0 },
                run: 1,
                payload: "",
                leaseUntilMs: 60_000,
                fence: FIRST_FENCE,
                checkpoint: "",
                ticket: "",
            });
            await stopWhenListed(harness, "w", 0);
            await clock.runFor(15_000);
            isHeld = false;
            await clock.runFor(LEASE_OVER_MS);
            checkEachRanOnce(harness, "job", 1);
        },
    );

    it("has no task run again that it told before its life's token was heard", async () => {
        const harness = new CoordinatorHarness(FIXED_RANDOM, () => 20);
        const { clock, fleet } = harness;
        void harness.addWorker("w");
        await clock.runFor(50);
        // The term gets no newer token for half a second.
        harness.startTerm(false);
        fleet.faults.startDelays = { maxDeliveryMs: 500, maxAnswerMs: 0 };
        void harness.submit("job", createSpec(1), createQueue());
        while (!harness.events.some(event => event.includes("run-order"))) {
            await clock.runFor(1);
        }
        await clock.runFor(10);
        harness.resetWorker("w");
        await clock.runFor(2);
        void harness.addWorker("other");
        await stopWhenListed(harness, "w", 0);
        await clock.runFor(LEASE_OVER_MS);
        expect(harness.events.some(event => event.includes("older-token"))).toBe(true);
        checkEachRanOnce(harness, "job", 1);
    });
});

// Guards against a worker that isn't asked for its last ends while earlier ones are being recorded.
describe("A draining worker that leaves soon after its last run has ended, while the store is slow", () => {
    it.each([100, 200, 300])("has no task run again if that run ends %d ms after the one before", async laterMs => {
        const harness = new CoordinatorHarness(FIXED_RANDOM, ({ index }) => index === 0 ? 2000 : 2000 + laterMs);
        const { clock } = harness;
        void harness.addWorker("w");
        await clock.runFor(50);
        harness.startTerm(false);
        await clock.runFor(1000);
        void harness.submit("job", createSpec(2), createQueue());
        while (harness.runChecker.countActiveRuns() < 2) {
            await clock.runFor(1);
        }
        void harness.addWorker("other");
        void harness.drainWorker("w");
        await clock.runFor(1500);
        harness.store.faults.answerMs = 800;
        while (harness.runChecker.countActiveRuns() > 0) {
            await clock.runFor(1);
        }
        await clock.runFor(80);
        harness.stopWorker("w");
        await clock.runFor(LEASE_OVER_MS);
        checkEachRanOnce(harness, "job", 2);
    });
});

describe("Ends that a worker lists again after an answer that wasn't applied as a report", () => {
    it.each(DELAYS_MS)("are applied once each, answers take %d ms", async delayMs => {
        const harness = await startJob(-2000, made => setAnswerDelay(made, delayMs));
        const worker = harness.fleet.workers.get("w");
        Object.assign(worker ?? {}, { isUnreachable: true });
        await waitUntilSilent(harness);
        Object.assign(worker ?? {}, { isUnreachable: false });
        await harness.clock.runFor(2000);
        const isFirstRun = (event: string) => event.includes(" run-end ") && event.includes("\"run\":1,");
        expect(harness.events.some(event => event.includes("ends-left-aside"))).toBe(true);
        expect(harness.events.filter(isFirstRun)).toHaveLength(TASKS);
        expect(harness.runChecker.violations).toEqual([]);
    });
});
