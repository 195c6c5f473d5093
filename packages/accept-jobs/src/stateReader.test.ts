import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";
import { DeskBed } from "./testing/deskBed.js";
import { jobFixture } from "./testing/jobFixture.js";

const PATIENCE_MS = 3000;
const ID = "5c0e7a21d94b36f8";
const { createId, createJobRecord, createProgress } = jobFixture;

describe("StateReader", () => {
    describe("when the store loses a read, and the coordinator doesn't answer", () => {
        /** A desk that asks the store at once, whose read with the given number isn't answered. */
        async function createBed(lostRead: number): Promise<DeskBed> {
            const bed = new DeskBed();
            bed.coordinator = () => Promise.resolve({ isUnsent: true });
            await bed.append(Topic.Jobs, [createJobRecord(ID)]);
            bed.beforePage = async pages => {
                bed.store.faults.isDown = pages === lostRead;
            };
            return bed;
        }

        it.each([1, 2])("reads again while callers wait, when it was read %i", async lostRead => {
            const bed = await createBed(lostRead);
            const { result, tookMs } = await bed.getState(ID);
            expect(result).toEqual({ state: JobState.Queued });
            expect(tookMs).toBeLessThan(PATIENCE_MS);
        });

        it("answers all that waited for that read", async () => {
            const bed = await createBed(1);
            const ids = Array.from({ length: 30 }, (_, index) => createId(index));
            await bed.append(Topic.Progress, ids.map(id => createProgress(id, JobState.Running)));
            const answers = await bed.runUntilSettled(Promise.all(ids.map(id => bed.desk.getState(id, PATIENCE_MS))));
            expect(answers.result).toEqual(ids.map(() => ({ state: JobState.Running })));
        });

        it("takes two reads that were under way together and were lost together for one failure", async () => {
            const bed = await createBed(0);
            await bed.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
            const lostAtMs = bed.clock.getNow() + 700;
            bed.beforePage = async pages => {
                if (pages <= 2) {
                    await bed.waitInVain(lostAtMs - bed.clock.getNow());
                }
                bed.store.faults.isDown = pages <= 2;
            };
            const first = bed.desk.getState(ID, PATIENCE_MS);
            await bed.clock.runFor(600);
            const second = bed.desk.getState(ID, PATIENCE_MS);
            await bed.clock.runFor(50);
            expect(bed.pages.length).toBe(2);
            const answers = await bed.runUntilSettled(Promise.all([first, second]));
            expect(answers.result).toEqual([{ state: JobState.Running }, { state: JobState.Running }]);
        });
    });

    describe("when questions come one after another", () => {
        /** Asks for a job's state every 20 ms, half a second long; tells in what times they were answered, the longest first. */
        async function measureAnswers(bed: DeskBed): Promise<number[]> {
            bed.coordinator = () => Promise.resolve({ isUnsent: true });
            const ids = Array.from({ length: 25 }, (_, index) => createId(index));
            await bed.append(Topic.Progress, ids.map(id => createProgress(id, JobState.Running)));
            const tookMs: number[] = [];
            for (const id of ids) {
                const askedAtMs = bed.clock.getNow();
                void bed.desk.getState(id, PATIENCE_MS).then(answer => {
                    if ("state" in answer) {
                        tookMs.push(bed.clock.getNow() - askedAtMs);
                    }
                });
                await bed.clock.runFor(20);
            }
            await bed.clock.runFor(PATIENCE_MS);
            return tookMs.sort((one, other) => other - one);
        }

        it("waits for one page at a time, since a second one has the same keys and takes half of the link", async () => {
            const bed = new DeskBed();
            bed.store.faults.answerMs = 120;
            const tookMs = await measureAnswers(bed);
            expect(tookMs.length).toBe(25);
            expect(tookMs[0]).toBeLessThanOrEqual(250);
            expect(bed.mostPagesUnderWay).toBe(1);
        });

        it("asks for a second page soon when one takes longer than usual, since its answer may be lost", async () => {
            const bed = new DeskBed();
            bed.coordinator = () => Promise.resolve({ isUnsent: true });
            await bed.append(Topic.Progress, [createProgress(ID, JobState.Running)]);
            await bed.getState(ID);
            bed.beforePage = pages => pages === 2 ? bed.waitInVain(1000) : Promise.resolve();
            const tookMs = await measureAnswers(bed);
            expect(tookMs.length).toBe(25);
            expect(tookMs[0]).toBeGreaterThan(1000);
            expect(tookMs[1]).toBeLessThan(250);
            expect(bed.mostPagesUnderWay).toBe(2);
        });
    });
});
