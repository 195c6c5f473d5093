import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";
import { jobFixture } from "./testing/jobFixture.js";
import { JobServiceHarness } from "./testing/jobServiceHarness.js";

const ID = "5c0e7a21d94b36f8";
const { createJobRecord, createProgress, queue, spec } = jobFixture;

// Guards against a state that this VM has shown itself and then forgotten.
describe("A state that this VM has shown a moment ago", () => {
    function setAllSilent(harness: JobServiceHarness): void {
        harness.coordinator = (_, timeoutMs) => harness.waitUnanswered(timeoutMs);
        harness.store.faults.isDown = true;
    }

    it.each([JobState.Queued, JobState.Running])(
        "is shown again if the coordinator told it (%s) and then nobody answers",
        async state => {
            const harness = new JobServiceHarness();
            harness.coordinator = () => Promise.resolve({ state });
            expect((await harness.getState(ID)).result).toEqual({ state });
            setAllSilent(harness);
            expect((await harness.getState(ID)).result).toEqual({ state });
        },
    );

    it("is shown again if it was read from the store and then nobody answers", async () => {
        const harness = new JobServiceHarness();
        await harness.append(Topic.Jobs, [createJobRecord(ID)]);
        await harness.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
        expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
        setAllSilent(harness);
        expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
    });

    it("isn't followed by an earlier one: a job accepted here that was shown as running", async () => {
        const harness = new JobServiceHarness();
        await harness.runUntilSettled(harness.jobService.submit(ID, queue, spec));
        harness.coordinator = () => Promise.resolve({ state: JobState.Running });
        expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
        setAllSilent(harness);
        expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
    });
});

describe("A question that neither the coordinator nor the store answers", () => {
    it("is refused soon enough for the caller to ask another VM, however long it waits", async () => {
        const harness = new JobServiceHarness();
        harness.store.faults.answerMs = 1_000_000;
        const { result, tookMs } = await harness.getState(ID, 20_000);
        expect(result).toEqual({ isUnavailable: true });
        expect(tookMs).toBeLessThanOrEqual(5000);
    });

    it.each([0, 1, 50])("is answered at once from memory with a timeout of %i ms", async timeoutMs => {
        const harness = new JobServiceHarness();
        harness.store.faults.answerMs = 1_000_000;
        harness.jobStateCache.noteState(ID, JobState.Running);
        const { result, tookMs } = await harness.getState(ID, timeoutMs);
        expect(result).toEqual({ state: JobState.Running });
        expect(tookMs).toBeLessThanOrEqual(timeoutMs + 2);
    });
});
