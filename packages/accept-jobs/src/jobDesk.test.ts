import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";
import { CANCEL_SUFFIX } from "@sardinestage/track-jobs";
import { DeskBed } from "./testing/deskBed.js";
import { jobFixture } from "./testing/jobFixture.js";

const PATIENCE_MS = 3000;
const APPEND_TIMEOUT_MS = 1000;
const ID = "5c0e7a21d94b36f8";
const { createId, createJobRecord, createProgress, queue, spec } = jobFixture;

describe("JobDesk", () => {
    const silences: readonly { name: string; behave?: DeskBed["coordinator"] }[] = [
        { name: "doesn't answer" },
        { name: "isn't sure", behave: () => Promise.resolve({ isUnsure: true }) },
        { name: "isn't known during a takeover", behave: () => Promise.resolve({ isUnsent: true }) },
    ];
    describe.each(silences)("when the coordinator $name", ({ behave }) => {
        function createBed(): DeskBed {
            const bed = new DeskBed();
            bed.coordinator = behave ?? bed.coordinator;
            return bed;
        }

        it.each([JobState.Running, JobState.Completed, JobState.Failed, JobState.Cancelled])(
            "tells that a job is %s as its progress in the store says",
            async state => {
                const bed = createBed();
                await bed.append(Topic.Jobs, [createJobRecord(ID)]);
                await bed.append(Topic.Progress, [createProgress(ID, state)]);
                const { result, tookMs } = await bed.getState(ID);
                expect(result).toEqual({ state });
                expect(tookMs).toBeLessThan(PATIENCE_MS / 2);
            },
        );

        it("tells that an accepted job without progress is queued", async () => {
            const bed = createBed();
            await bed.append(Topic.Jobs, [createJobRecord(ID)]);
            expect((await bed.getState(ID)).result).toEqual({ state: JobState.Queued });
        });

        it("tells that a job with a cancellation is cancelled", async () => {
            const bed = createBed();
            await bed.append(Topic.Jobs, [createJobRecord(ID), {
                key: ID + CANCEL_SUFFIX,
                value: new Uint8Array([1]),
            }]);
            expect((await bed.getState(ID)).result).toEqual({ state: JobState.Cancelled });
        });

        it("tells that a job that it cancelled itself is cancelled, though its progress doesn't say so yet", async () => {
            const bed = createBed();
            await bed.append(Topic.Jobs, [createJobRecord(ID)]);
            await bed.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
            await bed.runUntilSettled(bed.desk.cancel(ID, queue));
            expect((await bed.getState(ID)).result).toEqual({ state: JobState.Cancelled });
        });

        it("shows no job that nobody submitted, cancelled or not", async () => {
            const bed = createBed();
            await bed.append(Topic.Jobs, [createJobRecord(createId(1)), {
                key: ID + CANCEL_SUFFIX,
                value: new Uint8Array([1]),
            }]);
            expect((await bed.getState(ID)).result).toEqual({ isAbsent: true });
        });

        it("keeps to the caller's time", async () => {
            const bed = createBed();
            await bed.append(Topic.Jobs, [createJobRecord(ID)]);
            const { result, tookMs } = await bed.getState(ID, 200);
            expect(result).toEqual({ state: JobState.Queued });
            expect(tookMs).toBeLessThan(180);
        });
    });

    describe("when a job ends and is dropped between the reads", () => {
        it("never tells that it is unknown", async () => {
            const bed = new DeskBed();
            await bed.append(Topic.Jobs, [createJobRecord(ID)]);
            bed.beforePage = async pages => {
                if (pages === 2) {
                    const call = { timeoutMs: APPEND_TIMEOUT_MS };
                    const progress = createProgress(ID, JobState.Completed);
                    await bed.store.append({ ...call, topic: Topic.Progress, records: [progress] });
                    await bed.store.append({ ...call, topic: Topic.Jobs, records: [{ key: ID, value: undefined }] });
                }
            };
            expect((await bed.getState(ID)).result).toEqual({ state: JobState.Completed });
            expect(bed.pages).toEqual([Topic.Progress, Topic.Jobs, Topic.Progress]);
        });
    });

    describe("when neither the coordinator nor the store answers", () => {
        it("refuses, and soon refuses at once", async () => {
            const bed = new DeskBed();
            bed.store.faults.isDown = true;
            for (let asked = 0; asked < 4; asked++) {
                expect((await bed.getState(ID)).result).toEqual({ isUnavailable: true });
            }
            const { result, tookMs } = await bed.getState(ID);
            expect(result).toEqual({ isUnavailable: true });
            expect(tookMs).toBeLessThan(50);
        });

        it("answers again soon after the store does", async () => {
            const bed = new DeskBed();
            await bed.append(Topic.Jobs, [createJobRecord(ID)]);
            bed.store.faults.isDown = true;
            for (let asked = 0; asked < 6; asked++) {
                await bed.getState(ID);
            }
            bed.store.faults.isDown = false;
            await bed.clock.runFor(300);
            expect((await bed.getState(ID)).result).toEqual({ state: JobState.Queued });
        });
    });

    describe("when the coordinator answers late", () => {
        it("is answered by the store meanwhile, and by the coordinator where the store fails", async () => {
            const bed = new DeskBed();
            bed.coordinator = async () => {
                await bed.waitInVain(600);
                return { state: JobState.Running };
            };
            await bed.append(Topic.Jobs, [createJobRecord(ID)]);
            expect((await bed.getState(ID)).result).toEqual({ state: JobState.Queued });
            bed.store.faults.isDown = true;
            expect((await bed.getState(ID)).result).toEqual({ state: JobState.Running });
        });
    });

    describe("when the coordinator has been silent several times", () => {
        it("asks it seldom, and the store at once, until it answers", async () => {
            const bed = new DeskBed();
            await bed.append(Topic.Jobs, [createJobRecord(ID)]);
            for (let asked = 0; asked < 3; asked++) {
                await bed.getState(ID);
            }
            await bed.clock.runFor(5000);
            bed.calls.length = 0;
            for (let asked = 0; asked < 20; asked++) {
                const { result, tookMs } = await bed.getState(ID);
                expect(result).toEqual({ state: JobState.Queued });
                expect(tookMs).toBeLessThan(100);
                await bed.clock.runFor(100 - tookMs);
            }
            expect(bed.calls.length).toBeLessThanOrEqual(3);
            bed.coordinator = () => Promise.resolve({ state: JobState.Running });
            await bed.clock.runFor(1000);
            await bed.getState(ID);
            await bed.clock.runFor(10);
            bed.pages.length = 0;
            expect((await bed.getState(ID)).result).toEqual({ state: JobState.Running });
            expect(bed.pages).toEqual([]);
        });
    });

    describe("when callers have little time", () => {
        it("gives up no call to the coordinator for it, which would end all calls on its connection", async () => {
            const bed = new DeskBed();
            await bed.append(Topic.Jobs, [createJobRecord(ID)]);
            await bed.getState(ID, 200);
            await bed.runUntilSettled(bed.desk.getPending("queue", 200));
            await bed.runUntilSettled(bed.desk.cancel(ID, queue, 200));
            expect(bed.callTimeoutsMs).toEqual([3000, 3000, 3000]);
        });
    });

    describe("when one lost connection ends many calls to the coordinator", () => {
        it("asks it again", async () => {
            const bed = new DeskBed();
            bed.coordinator = async () => bed.waitInVain(50);
            await bed.runUntilSettled(Promise.all([1, 2, 3, 4, 5].map(index => bed.desk.getState(createId(index)))));
            bed.coordinator = () => Promise.resolve({ state: JobState.Running });
            expect((await bed.getState(ID)).result).toEqual({ state: JobState.Running });
        });
    });

    describe("when many questions wait for the store", () => {
        it("answers all of them from few pages", async () => {
            const bed = new DeskBed();
            bed.coordinator = () => Promise.resolve({ isUnsent: true });
            const ids = Array.from({ length: 120 }, (_, index) => createId(index * 7));
            await bed.append(Topic.Jobs, ids.map(createJobRecord));
            await bed.append(Topic.Progress, ids.map(id => createProgress(id, JobState.Running)));
            const answers = await bed.runUntilSettled(Promise.all(ids.map(id => bed.desk.getState(id, PATIENCE_MS))));
            expect(answers.result).toEqual(ids.map(() => ({ state: JobState.Running })));
            expect(bed.pages.length).toBeLessThanOrEqual(5);
        });

        it("asks nobody about ends that it has seen", async () => {
            const bed = new DeskBed();
            await bed.append(Topic.Progress, [
                createProgress(createId(1), JobState.Completed),
                createProgress(createId(2), JobState.Failed),
            ]);
            await bed.getState(createId(1));
            bed.pages.length = 0;
            bed.calls.length = 0;
            expect((await bed.getState(createId(2))).result).toEqual({ state: JobState.Failed });
            expect([bed.pages.length, bed.calls.length]).toEqual([0, 0]);
        });

        it("reads the accepted jobs for none that it accepted itself", async () => {
            const bed = new DeskBed();
            await bed.runUntilSettled(bed.desk.submit(ID, queue, spec));
            expect((await bed.getState(ID)).result).toEqual({ state: JobState.Queued });
            expect(bed.pages).toEqual([Topic.Progress]);
        });
    });

    describe("when the coordinator doesn't answer a count of waiting jobs", () => {
        it("tells the last count for two seconds, and then none", async () => {
            const bed = new DeskBed();
            const silent = bed.coordinator;
            bed.coordinator = () => Promise.resolve({ pending: 7 });
            expect((await bed.runUntilSettled(bed.desk.getPending("queue", 500))).result).toBe(7);
            bed.coordinator = silent;
            expect((await bed.runUntilSettled(bed.desk.getPending("queue", 500))).result).toBe(7);
            await bed.clock.runFor(1500);
            expect((await bed.runUntilSettled(bed.desk.getPending("queue", 500))).result).toBeUndefined();
            expect((await bed.runUntilSettled(bed.desk.getPending("other", 500))).result).toBeUndefined();
        });
    });
});
