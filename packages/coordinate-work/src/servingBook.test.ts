import { describe, expect, it } from "@jest/globals";
import type { WorkerEntry } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { Task } from "@sardinestage/track-jobs";
import { Job, openOccurrence, TaskPhase } from "@sardinestage/track-jobs";
import { ServingBook } from "./servingBook.js";
import { createQueue } from "./testing/createQueue.js";
import { TrackedWorker } from "./trackedWorker.js";

const TARGET_MS = 10_000;
const LOOK_MS = 400;
const AHEAD_MS = 1500;
const TASK_MS = 8000;

/** A load that swings within seconds. */
function computeHeadroom(atMs: number): number {
    return 2.2 + 0.6 * Math.sin(atMs / 1000);
}

/** What is really left at the worst moment of a task that starts now. */
function computeLowest(atMs: number): number {
    let lowest = Infinity;
    for (let passedMs = 0; passedMs <= TASK_MS; passedMs += 100) {
        lowest = Math.min(lowest, computeHeadroom(atMs + passedMs));
    }
    return lowest;
}

function createServer(): Task {
    const spec = createStep({ image: "serving", tailTargetMs: TARGET_MS, longRunning: true });
    const job = new Job(
        "job",
        { payload: "", steps: [spec], repeatCount: 0, firstRunMs: 0, intervalMs: 0 },
        createQueue(),
        0,
    );
    openOccurrence(job, 0);
    const [task] = [...job.listTasks()];
    task.phase = TaskPhase.Running;
    task.workerId = "w";
    task.percent = 100;
    return task;
}

describe("ServingBook", () => {
    describe("when the load of a serving task swings faster than filling tasks end", () => {
        it("counts for a place on half of what the swing takes back, and on no less than the least that is expected", () => {
            const link = new TrackedWorker({ id: "w", capacity: { cpuMillis: 16_000 } } as unknown as WorkerEntry, 0);
            const estimator = new HeadroomEstimator();
            const book = new ServingBook(estimator);
            const server = createServer();
            let expectedTooMuch = 0;
            let placedTooMuch = 0;
            for (let nowMs = 0; nowMs < 60_000; nowMs += LOOK_MS) {
                server.figure = TARGET_MS / computeHeadroom(nowMs);
                book.takeFigures(link, [server], [], nowMs);
                if (nowMs < 20_000) {
                    continue;
                }
                const lowest = computeLowest(nowMs);
                const place = book.estimatePlaceHeadroom(server, nowMs + AHEAD_MS) ?? 0;
                const expected = book.estimateHeadroom(server, nowMs + AHEAD_MS) ?? 0;
                expectedTooMuch += Math.max(0, expected - lowest);
                placedTooMuch += Math.max(0, place - lowest);
                expect(place).toBeGreaterThanOrEqual(Math.min(expected, estimator.estimateLowest("serving")));
            }
            expect(placedTooMuch).toBeLessThan(expectedTooMuch * 0.6);
        });
    });

    describe("when nothing was seen of a serving task", () => {
        it("says so", () => {
            const book = new ServingBook(new HeadroomEstimator());
            expect(book.estimatePlaceHeadroom(createServer(), 1000)).toBeUndefined();
        });
    });
});
