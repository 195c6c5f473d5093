import { describe, expect, it } from "@jest/globals";
import { Topic, waitFor } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";
import { CANCEL_SUFFIX } from "@sardinestage/track-jobs";
import { SubmitOutcome } from "./submitOutcome.js";
import { jobFixture } from "./testing/jobFixture.js";
import { JobServiceHarness } from "./testing/jobServiceHarness.js";

const CALLER_TIMEOUT_MS = 3000;
const APPEND_TIMEOUT_MS = 1000;
const ID = "5c0e7a21d94b36f8";
const { createId, createJobRecord, createProgress, queue, spec } = jobFixture;

describe("JobService", () => {
    const cases: readonly { name: string; coordinator?: JobServiceHarness["coordinator"] }[] = [
        { name: "doesn't answer" },
        { name: "is unsure of the state", coordinator: () => Promise.resolve({ isUnsure: true }) },
        { name: "isn't known during a takeover", coordinator: () => Promise.resolve({ isUnsent: true }) },
    ];
    describe.each(cases)("when the coordinator $name", ({ coordinator }) => {
        function createHarness(): JobServiceHarness {
            const harness = new JobServiceHarness();
            harness.coordinator = coordinator ?? harness.coordinator;
            return harness;
        }

        it.each([JobState.Running, JobState.Completed, JobState.Failed, JobState.Cancelled])(
            "reports a job as %s, as its progress in the store says",
            async state => {
                const harness = createHarness();
                await harness.append(Topic.Jobs, [createJobRecord(ID)]);
                await harness.append(Topic.Progress, [createProgress(ID, state)]);
                const { result, tookMs } = await harness.getState(ID);
                expect(result).toEqual({ state });
                expect(tookMs).toBeLessThan(CALLER_TIMEOUT_MS / 2);
            },
        );

        it("reports an accepted job without progress as queued", async () => {
            const harness = createHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Queued });
        });

        it("reports a job with a cancellation in the store as cancelled", async () => {
            const harness = createHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID), {
                key: ID + CANCEL_SUFFIX,
                value: new Uint8Array([1]),
            }]);
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Cancelled });
        });

        it("reports a job that this VM cancelled as cancelled, although its progress still says running", async () => {
            const harness = createHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            await harness.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
            await harness.runUntilSettled(harness.jobService.cancel(ID, queue));
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Cancelled });
        });

        it("reports a job that was never submitted as absent, even if it has a cancellation", async () => {
            const harness = createHarness();
            await harness.append(Topic.Jobs, [createJobRecord(createId(1)), {
                key: ID + CANCEL_SUFFIX,
                value: new Uint8Array([1]),
            }]);
            expect((await harness.getState(ID)).result).toEqual({ isAbsent: true });
        });

        it("answers within the caller's timeout", async () => {
            const harness = createHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            const { result, tookMs } = await harness.getState(ID, 200);
            expect(result).toEqual({ state: JobState.Queued });
            expect(tookMs).toBeLessThan(180);
        });
    });

    describe("when a job ends and its record is deleted between two reads", () => {
        it("reports its final state, not that it is absent", async () => {
            const harness = new JobServiceHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            harness.beforePage = async pages => {
                if (pages === 2) {
                    const call = { timeoutMs: APPEND_TIMEOUT_MS };
                    const progress = createProgress(ID, JobState.Completed);
                    await harness.store.append({ ...call, topic: Topic.Progress, records: [progress] });
                    await harness.store.append({
                        ...call,
                        topic: Topic.Jobs,
                        records: [{ key: ID, value: undefined }],
                    });
                }
            };
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Completed });
            expect(harness.pages).toEqual([Topic.Progress, Topic.Jobs, Topic.Progress]);
        });
    });

    describe("when a request that was accepted is made again while the store is away", () => {
        // Guards against a refusal of a job that runs: its caller has lost the first answer.
        it.each(["submission", "cancellation"])("accepts it: %s", async kind => {
            const harness = new JobServiceHarness();
            const send = () =>
                kind === "submission"
                    ? harness.jobService.submit(ID, queue, spec)
                    : harness.jobService.cancel(ID, queue);
            expect((await harness.runUntilSettled(send())).result).toBe(SubmitOutcome.Accepted);
            harness.store.faults.isDown = true;
            harness.coordinator = () => Promise.resolve({ isUnsent: true });
            expect((await harness.runUntilSettled(send())).result).toBe(SubmitOutcome.Accepted);
            expect((await harness.runUntilSettled(send())).result).toBe(SubmitOutcome.Accepted);
        });
    });

    describe("when neither the coordinator nor the store answers", () => {
        it("reports the state as unavailable, and after several failures does so immediately", async () => {
            const harness = new JobServiceHarness();
            harness.store.faults.isDown = true;
            for (let asked = 0; asked < 4; asked++) {
                expect((await harness.getState(ID)).result).toEqual({ isUnavailable: true });
            }
            const { result, tookMs } = await harness.getState(ID);
            expect(result).toEqual({ isUnavailable: true });
            expect(tookMs).toBeLessThan(50);
        });

        it("answers again soon after the store recovers", async () => {
            const harness = new JobServiceHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            harness.store.faults.isDown = true;
            for (let asked = 0; asked < 6; asked++) {
                await harness.getState(ID);
            }
            harness.store.faults.isDown = false;
            await harness.clock.runFor(300);
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Queued });
        });
    });

    describe("when the coordinator answers late", () => {
        it("answers from the store, and from the coordinator if the store fails", async () => {
            const harness = new JobServiceHarness();
            harness.coordinator = async () => {
                await harness.waitUnanswered(600);
                return { state: JobState.Running };
            };
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Queued });
            harness.store.faults.isDown = true;
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
        });
    });

    describe("when the coordinator hasn't answered several calls", () => {
        it("rarely calls it and reads the store immediately, until the coordinator answers again", async () => {
            const harness = new JobServiceHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            for (let asked = 0; asked < 3; asked++) {
                await harness.getState(ID);
            }
            await harness.clock.runFor(5000);
            harness.calls.length = 0;
            for (let asked = 0; asked < 20; asked++) {
                const { result, tookMs } = await harness.getState(ID);
                expect(result).toEqual({ state: JobState.Queued });
                expect(tookMs).toBeLessThan(100);
                await harness.clock.runFor(100 - tookMs);
            }
            expect(harness.calls.length).toBeLessThanOrEqual(3);
            harness.coordinator = () => Promise.resolve({ state: JobState.Running });
            await harness.clock.runFor(1000);
            await harness.getState(ID);
            await harness.clock.runFor(10);
            harness.pages.length = 0;
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
            expect(harness.pages).toEqual([]);
        });
    });

    describe("when a coordinator that hasn't answered several calls answers again", () => {
        async function createDoubtingHarness(): Promise<JobServiceHarness> {
            const harness = new JobServiceHarness();
            harness.store.faults.isDown = true;
            for (let index = 0; index < 4; index++) {
                await harness.getState(ID);
                await harness.clock.runFor(1500);
            }
            const reply = { state: JobState.Running, pending: 7 };
            harness.coordinator = () => waitFor(harness.clock, 20).then(() => reply);
            return harness;
        }

        // Guards against a refusal of the first question while its answer is under way.
        it("answers the first question about a job with its answer", async () => {
            const harness = await createDoubtingHarness();
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
        });

        it("answers the first question for a count with its answer", async () => {
            const harness = await createDoubtingHarness();
            expect((await harness.runUntilSettled(harness.jobService.getPending("queue"))).result).toBe(7);
        });

        it("still answers at once if there is no answer", async () => {
            const harness = await createDoubtingHarness();
            harness.coordinator = (_, timeoutMs) => harness.waitUnanswered(timeoutMs);
            const { result, tookMs } = await harness.getState(ID);
            expect(result).toEqual({ isUnavailable: true });
            expect(tookMs).toBeLessThan(200);
            await harness.clock.runFor(1500);
            const pending = await harness.runUntilSettled(harness.jobService.getPending("queue"));
            expect(pending.result).toBeUndefined();
            expect(pending.tookMs).toBeLessThan(200);
        });
    });

    describe("when callers have short timeouts", () => {
        it("doesn't abort calls to the coordinator early, which would fail all calls on the connection", async () => {
            const harness = new JobServiceHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            await harness.getState(ID, 200);
            await harness.runUntilSettled(harness.jobService.getPending("queue", 200));
            await harness.runUntilSettled(harness.jobService.cancel(ID, queue, 200));
            expect(harness.callTimeoutsMs).toEqual([3000, 3000, 3000]);
        });
    });

    describe("when one lost connection fails many calls to the coordinator", () => {
        it("keeps calling it, since these failures count as one", async () => {
            const harness = new JobServiceHarness();
            harness.coordinator = async () => harness.waitUnanswered(50);
            await harness.runUntilSettled(
                Promise.all([1, 2, 3, 4, 5].map(index => harness.jobService.getState(createId(index)))),
            );
            harness.coordinator = () => Promise.resolve({ state: JobState.Running });
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
        });
    });

    describe("when many queries wait for the store", () => {
        it("answers all of them from a few pages", async () => {
            const harness = new JobServiceHarness();
            harness.coordinator = () => Promise.resolve({ isUnsent: true });
            const ids = Array.from({ length: 120 }, (_, index) => createId(index * 7));
            await harness.append(Topic.Jobs, ids.map(id => createJobRecord(id)));
            await harness.append(Topic.Progress, ids.map(id => createProgress(id, JobState.Running)));
            const answers = await harness.runUntilSettled(
                Promise.all(ids.map(id => harness.jobService.getState(id, CALLER_TIMEOUT_MS))),
            );
            expect(answers.result).toEqual(ids.map(() => ({ state: JobState.Running })));
            expect(harness.pages.length).toBeLessThanOrEqual(5);
        });

        it("answers from the cache if a page has already shown the job's final state", async () => {
            const harness = new JobServiceHarness();
            await harness.append(Topic.Progress, [
                createProgress(createId(1), JobState.Completed),
                createProgress(createId(2), JobState.Failed),
            ]);
            await harness.getState(createId(1));
            harness.pages.length = 0;
            harness.calls.length = 0;
            expect((await harness.getState(createId(2))).result).toEqual({ state: JobState.Failed });
            expect([harness.pages.length, harness.calls.length]).toEqual([0, 0]);
        });

        it("doesn't read the accepted jobs for a job that this VM accepted itself", async () => {
            const harness = new JobServiceHarness();
            await harness.runUntilSettled(harness.jobService.submit(ID, queue, spec));
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Queued });
            expect(harness.pages).toEqual([Topic.Progress]);
        });
    });

    describe("when the coordinator doesn't answer a query for the count of waiting jobs", () => {
        it("returns a recent count without waiting for most of the caller's time", async () => {
            const harness = new JobServiceHarness();
            const unanswered = harness.coordinator;
            harness.coordinator = () => Promise.resolve({ pending: 7 });
            await harness.runUntilSettled(harness.jobService.getPending("queue", CALLER_TIMEOUT_MS));
            harness.coordinator = unanswered;
            await harness.clock.runFor(1000);
            const { result, tookMs } = await harness.runUntilSettled(
                harness.jobService.getPending("queue", CALLER_TIMEOUT_MS),
            );
            expect(result).toBe(7);
            expect(tookMs).toBeLessThan(CALLER_TIMEOUT_MS / 2);
        });

        it("returns the last count for two seconds, and then undefined", async () => {
            const harness = new JobServiceHarness();
            const unanswered = harness.coordinator;
            harness.coordinator = () => Promise.resolve({ pending: 7 });
            expect((await harness.runUntilSettled(harness.jobService.getPending("queue", 500))).result).toBe(7);
            harness.coordinator = unanswered;
            expect((await harness.runUntilSettled(harness.jobService.getPending("queue", 500))).result).toBe(7);
            await harness.clock.runFor(2000);
            expect((await harness.runUntilSettled(harness.jobService.getPending("queue", 500))).result).toBeUndefined();
            expect((await harness.runUntilSettled(harness.jobService.getPending("other", 500))).result).toBeUndefined();
        });
    });
});
