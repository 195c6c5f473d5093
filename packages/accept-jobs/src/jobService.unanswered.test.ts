import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";
import { jobFixture } from "./testing/jobFixture.js";
import { JobServiceHarness } from "./testing/jobServiceHarness.js";

const CALLER_TIMEOUT_MS = 3000;
const ID = "5c0e7a21d94b36f8";
const { createId, createJobRecord, createProgress, queue, spec } = jobFixture;

describe("JobService", () => {
    describe("when a state stays unanswered", () => {
        it.each([
            {
                name: "the store refuses reads and the coordinator isn't known",
                coordinator: { isUnsent: true },
                expected: { coordinator: "unsent", store: "refused", storeStep: "progress" },
            },
            {
                name: "the store refuses reads and the coordinator is unsure",
                coordinator: { isUnsure: true },
                expected: { coordinator: "unsure", store: "refused", storeStep: "progress" },
            },
        ])("logs that $name", async ({ coordinator, expected }) => {
            const harness = new JobServiceHarness();
            harness.coordinator = () => Promise.resolve(coordinator);
            harness.store.faults.isDown = true;
            await harness.getState(ID);
            await harness.getState(ID);
            expect(harness.events.at(-1)?.event).toBe("job-state-unavailable");
            expect(harness.events.at(-1)?.fields).toMatchObject({ job: ID, ...expected });
        });

        it("logs the step and the pages read of a store that is too slow, and a coordinator without an answer", async () => {
            const harness = new JobServiceHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            harness.beforePage = pages => pages >= 2 ? harness.waitUnanswered(4000) : Promise.resolve();
            expect((await harness.getState(ID)).result).toEqual({ isUnavailable: true });
            expect(harness.events.find(({ event }) => event === "job-state-unavailable")?.fields).toMatchObject({
                coordinator: "timed-out",
                store: "timed-out",
                storeStep: "jobs",
                pages: 1,
                callerTimeoutMs: CALLER_TIMEOUT_MS,
            });
        });

        it("logs a record that can't be read, and an open circuit", async () => {
            const harness = new JobServiceHarness();
            await harness.append(Topic.Progress, [{ key: ID, value: new Uint8Array([0xff, 0xff]) }]);
            for (let asked = 0; asked < 4; asked++) {
                await harness.getState(ID);
            }
            await harness.clock.runFor(3000);
            await harness.getState(ID);
            await harness.getState(ID);
            expect(harness.events.at(-1)?.fields).toMatchObject({ coordinator: "circuit-open", store: "unreadable" });
        });
    });

    describe("when a job is known to be accepted and neither the coordinator nor the store answers", () => {
        function createHarness(state: JobState): JobServiceHarness {
            const harness = new JobServiceHarness();
            harness.store.faults.isDown = true;
            harness.jobStateCache.noteState(ID, state);
            return harness;
        }

        it.each([JobState.Queued, JobState.Running])("reports it as %s, as it was last known", async state => {
            const { result, tookMs } = await createHarness(state).getState(ID);
            expect(result).toEqual({ state });
            expect(tookMs).toBeLessThanOrEqual(CALLER_TIMEOUT_MS * 0.9);
        });

        it("reports a job that this VM accepted itself as queued", async () => {
            const harness = new JobServiceHarness();
            await harness.runUntilSettled(harness.jobService.submit(ID, queue, spec));
            harness.store.faults.isDown = true;
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Queued });
        });

        it("doesn't report it as cancelled, since it may have ended before the cancellation", async () => {
            const harness = createHarness(JobState.Running);
            harness.jobStateCache.noteCancelled(ID);
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
        });

        it("reports another job as unavailable, neither as absent nor with a state", async () => {
            const harness = createHarness(JobState.Running);
            harness.jobStateCache.noteCurrent(harness.clock.getNow());
            expect((await harness.getState(createId(1))).result).toEqual({ isUnavailable: true });
        });

        it("reports an end that becomes known while it waits", async () => {
            const harness = createHarness(JobState.Running);
            const answer = harness.jobService.getState(ID, CALLER_TIMEOUT_MS);
            await harness.clock.runFor(1000);
            harness.jobStateCache.noteState(ID, JobState.Completed);
            expect((await harness.runUntilSettled(answer)).result).toEqual({ state: JobState.Completed });
        });
    });

    describe("when all facts about jobs were known a short time ago", () => {
        function createHarness(): JobServiceHarness {
            const harness = new JobServiceHarness();
            harness.jobStateCache.noteState(ID, JobState.Running);
            harness.jobStateCache.noteCurrent(harness.clock.getNow());
            return harness;
        }

        it("reports what a coordinator says that answers late, and reads no page", async () => {
            const harness = createHarness();
            harness.coordinator = async () => {
                await harness.waitUnanswered(1000);
                return { state: JobState.Completed };
            };
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Completed });
            expect(harness.pages).toEqual([]);
        });

        it("reports the last state of a job in half of the caller's time if the coordinator doesn't answer", async () => {
            const harness = createHarness();
            const { result, tookMs } = await harness.getState(ID);
            expect(result).toEqual({ state: JobState.Running });
            expect(tookMs).toBeLessThan(CALLER_TIMEOUT_MS / 2);
            expect(harness.pages).toEqual([]);
        });

        it("reads the store again some seconds later, since this VM alone may have lost the coordinator", async () => {
            const harness = createHarness();
            await harness.append(Topic.Progress, [createProgress(ID, JobState.Completed)]);
            await harness.clock.runFor(6000);
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Completed });
        });

        it("reads the store for a job that was accepted later, and finds that another was never accepted", async () => {
            const harness = createHarness();
            await harness.append(Topic.Jobs, [createJobRecord(createId(1))]);
            expect((await harness.getState(createId(1))).result).toEqual({ state: JobState.Queued });
            expect((await harness.getState(createId(2))).result).toEqual({ isAbsent: true });
        });

        it("reads the store for a job that this VM cancelled", async () => {
            const harness = createHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            await harness.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
            await harness.runUntilSettled(harness.jobService.cancel(ID, queue));
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Cancelled });
        });
    });

    describe("when a job's progress can't be read", () => {
        const unreadable = { key: ID, value: new Uint8Array([0xff, 0xff]) };

        it("reports an accepted job as running, since it has begun and isn't known to have ended", async () => {
            const harness = new JobServiceHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            await harness.append(Topic.Progress, [unreadable]);
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
        });

        it("doesn't report it as cancelled, since it may have ended before the cancellation", async () => {
            const harness = new JobServiceHarness();
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            await harness.append(Topic.Progress, [unreadable]);
            harness.jobStateCache.noteCancelled(ID);
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
        });

        it("reports a job that isn't among the accepted ones as unavailable", async () => {
            const harness = new JobServiceHarness();
            await harness.append(Topic.Progress, [unreadable]);
            expect((await harness.getState(ID)).result).toEqual({ isUnavailable: true });
        });
    });
});
