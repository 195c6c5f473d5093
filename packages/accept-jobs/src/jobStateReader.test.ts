import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";
import { jobFixture } from "./testing/jobFixture.js";
import { JobServiceHarness } from "./testing/jobServiceHarness.js";

const CALLER_TIMEOUT_MS = 3000;
const ID = "5c0e7a21d94b36f8";
const { createId, createJobRecord, createProgress } = jobFixture;

describe("JobStateReader", () => {
    describe("when the store loses a page, and the coordinator doesn't answer", () => {
        /** Creates a job service that reads from the store immediately, and whose page of the given number is lost. */
        async function createHarness(lostRead: number): Promise<JobServiceHarness> {
            const harness = new JobServiceHarness();
            harness.coordinator = () => Promise.resolve({ isUnsent: true });
            await harness.append(Topic.Jobs, [createJobRecord(ID)]);
            harness.beforePage = async pages => {
                harness.store.faults.isDown = pages === lostRead;
            };
            return harness;
        }

        it.each([1, 2])("reads again within the caller's timeout after losing page %i", async lostRead => {
            const harness = await createHarness(lostRead);
            const { result, tookMs } = await harness.getState(ID);
            expect(result).toEqual({ state: JobState.Queued });
            expect(tookMs).toBeLessThan(CALLER_TIMEOUT_MS);
        });

        it("answers all queries that waited for the lost page", async () => {
            const harness = await createHarness(1);
            const ids = Array.from({ length: 30 }, (_, index) => createId(index));
            await harness.append(Topic.Progress, ids.map(id => createProgress(id, JobState.Running)));
            const answers = await harness.runUntilSettled(
                Promise.all(ids.map(id => harness.jobService.getState(id, CALLER_TIMEOUT_MS))),
            );
            expect(answers.result).toEqual(ids.map(() => ({ state: JobState.Running })));
        });

        it("requests a page again that never comes, within the caller's timeout", async () => {
            const harness = await createHarness(0);
            await harness.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
            harness.beforePage = pages => pages === 1 ? harness.waitUnanswered(20_000) : Promise.resolve();
            const { result, tookMs } = await harness.getState(ID);
            expect(result).toEqual({ state: JobState.Running });
            expect(tookMs).toBeLessThan(CALLER_TIMEOUT_MS);
        });

        it("uses a page that comes after it was requested again", async () => {
            const harness = await createHarness(0);
            await harness.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
            harness.beforePage = pages => harness.waitUnanswered(pages === 1 ? 2000 : 20_000);
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
            expect(harness.pages.length).toBeGreaterThan(1);
        });

        it("refuses queries at once after pages that never came, and answers again after one that does", async () => {
            const harness = await createHarness(0);
            await harness.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
            harness.beforePage = () => harness.waitUnanswered(4000);
            await harness.getState(ID);
            await harness.getState(ID);
            void harness.jobService.getState(ID, CALLER_TIMEOUT_MS);
            await harness.clock.runFor(100);
            const { result, tookMs } = await harness.getState(ID);
            expect(result).toEqual({ isUnavailable: true });
            expect(tookMs).toBeLessThan(100);
            harness.beforePage = () => Promise.resolve();
            await harness.clock.runFor(5000);
            expect((await harness.getState(ID)).result).toEqual({ state: JobState.Running });
        });

        it("counts two pages that were in flight together and lost together as one failure", async () => {
            const harness = await createHarness(0);
            await harness.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
            harness.jobStateCache.noteAccepted(ID);
            const lostAtMs = harness.clock.getNow() + 700;
            harness.beforePage = async pages => {
                if (pages <= 2) {
                    await harness.waitUnanswered(lostAtMs - harness.clock.getNow());
                }
                harness.store.faults.isDown = pages <= 2;
            };
            const first = harness.jobService.getState(ID, CALLER_TIMEOUT_MS);
            await harness.clock.runFor(600);
            const second = harness.jobService.getState(ID, CALLER_TIMEOUT_MS);
            await harness.clock.runFor(50);
            expect(harness.pages.length).toBe(2);
            const answers = await harness.runUntilSettled(Promise.all([first, second]));
            expect(answers.result).toEqual([{ state: JobState.Running }, { state: JobState.Running }]);
        });
    });

    describe("when queries come one after another", () => {
        /** Queries a job's state every 20 ms for half a second; returns the answer times, the longest first. */
        async function measureAnswers(harness: JobServiceHarness): Promise<number[]> {
            harness.coordinator = () => Promise.resolve({ isUnsent: true });
            const ids = Array.from({ length: 25 }, (_, index) => createId(index));
            await harness.append(Topic.Progress, ids.map(id => createProgress(id, JobState.Running)));
            const tookMs: number[] = [];
            for (const id of ids) {
                const askedAtMs = harness.clock.getNow();
                void harness.jobService.getState(id, CALLER_TIMEOUT_MS).then(answer => {
                    if ("state" in answer) {
                        tookMs.push(harness.clock.getNow() - askedAtMs);
                    }
                });
                await harness.clock.runFor(20);
            }
            await harness.clock.runFor(CALLER_TIMEOUT_MS);
            return tookMs.sort((one, other) => other - one);
        }

        it("requests one page at a time, since another has the same keys and uses half the bandwidth", async () => {
            const harness = new JobServiceHarness();
            harness.store.faults.answerMs = 120;
            const tookMs = await measureAnswers(harness);
            expect(tookMs.length).toBe(25);
            expect(tookMs[0]).toBeLessThanOrEqual(250);
            expect(harness.maxPagesInFlight).toBe(1);
        });

        it("requests no second page for keys that fit in one, however slow it is", async () => {
            const harness = new JobServiceHarness();
            harness.store.faults.answerMs = 700;
            harness.coordinator = () => Promise.resolve({ isUnsent: true });
            const ids = Array.from({ length: 25 }, (_, index) => createId(index * 300_000_000_000_000));
            await harness.append(Topic.Progress, ids.map(id => createProgress(id, JobState.Running)));
            await harness.getState(ids[0]);
            const pagesBefore = harness.pages.filter(topic => topic === Topic.Progress).length;
            await harness.runUntilSettled(Promise.all(ids.map(id => harness.jobService.getState(id))));
            expect(harness.pages.filter(topic => topic === Topic.Progress).length).toBe(pagesBefore + 1);
        });

        it("requests a second page soon if one takes longer than usual, since its answer may be lost", async () => {
            const harness = new JobServiceHarness();
            harness.coordinator = () => Promise.resolve({ isUnsent: true });
            await harness.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
            await harness.getState(ID);
            harness.beforePage = pages => pages === 2 ? harness.waitUnanswered(1000) : Promise.resolve();
            const tookMs = await measureAnswers(harness);
            expect(tookMs.length).toBe(25);
            expect(tookMs[0]).toBeGreaterThan(1000);
            expect(tookMs[1]).toBeLessThan(250);
            expect(harness.maxPagesInFlight).toBe(2);
        });
    });
});
