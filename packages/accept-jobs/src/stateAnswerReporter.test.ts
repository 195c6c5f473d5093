import { beforeEach, describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";
import { jobFixture } from "./testing/jobFixture.js";
import { JobServiceHarness } from "./testing/jobServiceHarness.js";

const { createId, createJobRecord, createProgress } = jobFixture;
const REPORT_TIME_MS = 1000;

describe("The counts of answered questions", () => {
    let harness: JobServiceHarness;

    beforeEach(() => {
        harness = new JobServiceHarness();
    });

    function listLines(event: string): (object | undefined)[] {
        return harness.events.filter(line => line.event === event).map(({ fields }) => fields);
    }

    async function requestStates(ids: readonly string[]): Promise<void> {
        await harness.runUntilSettled(Promise.all(ids.map(id => harness.jobService.getState(id))));
    }

    it("are logged once for each second with answers, the last one included", async () => {
        harness.coordinator = () => Promise.resolve({ state: JobState.Running });
        for (let second = 0; second < 3; second++) {
            await requestStates(Array.from({ length: 50 }, (_, index) => createId(second * 50 + index)));
            await harness.clock.runFor(REPORT_TIME_MS);
        }
        await harness.clock.runFor(5 * REPORT_TIME_MS);
        const expected = expect.objectContaining({ fromCoordinator: 50, fromStore: undefined, unavailable: undefined });
        expect(listLines("job-states-answered")).toEqual([expected, expected, expected]);
    });

    it("tell the source and the outcome of each answer, and how long the slowest took", async () => {
        const [known, running, absent] = [createId(1), createId(2), createId(3)];
        harness.coordinator = () => Promise.resolve({ isUnsent: true });
        harness.jobStateCache.noteFinalState(known, JobState.Completed);
        await harness.append(Topic.Progress, [createProgress(running, JobState.Running)]);
        await harness.append(Topic.Jobs, [createJobRecord(running)]);
        harness.store.faults.answerMs = 40;
        await requestStates([known, running, absent]);
        await harness.clock.runFor(REPORT_TIME_MS);
        const [line] = listLines("job-states-answered") as { readonly slowestMs: number }[];
        expect(line).toMatchObject({ fromMemory: 1, fromStore: 1, absentInStore: 1 });
        expect(line.slowestMs).toBeGreaterThanOrEqual(120);
        expect(line.slowestMs).toBeLessThan(500);
    });

    it("count questions that nothing answers", async () => {
        harness.coordinator = () => Promise.resolve({ isUnsent: true });
        harness.store.faults.isDown = true;
        await requestStates([createId(1)]);
        await harness.clock.runFor(REPORT_TIME_MS);
        expect(listLines("job-states-answered")).toEqual([expect.objectContaining({ unavailable: 1 })]);
    });

    it("are logged at once when the process stops", async () => {
        harness.coordinator = () => Promise.resolve({ state: JobState.Running });
        await requestStates([createId(1)]);
        harness.jobService.close();
        expect(listLines("job-states-answered")).toEqual([expect.objectContaining({ fromCoordinator: 1 })]);
        await harness.clock.runFor(2 * REPORT_TIME_MS);
        expect(listLines("job-states-answered").length).toBe(1);
    });

    it("come with the pages of each topic that were read for them", async () => {
        harness.coordinator = () => Promise.resolve({ isUnsent: true });
        await harness.append(Topic.Jobs, [createJobRecord(createId(1))]);
        harness.store.faults.answerMs = 40;
        await requestStates([createId(1)]);
        await harness.clock.runFor(REPORT_TIME_MS);
        const topics = ["progress", "jobs"];
        expect(listLines("store-pages-read")).toEqual(
            topics.map(topic => expect.objectContaining({ topic, pages: 1, failedPages: 0 })),
        );
        const [, jobs] = listLines("store-pages-read") as { readonly bytes: number; readonly longestMs: number }[];
        expect(jobs.bytes).toBeGreaterThan(0);
        expect(jobs.longestMs).toBeGreaterThanOrEqual(40);
    });
});
