import { describe, expect, it } from "@jest/globals";
import type { WorkerEntry } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { Task } from "@sardinestage/track-jobs";
import { Job, openOccurrence, TaskPhase } from "@sardinestage/track-jobs";
import { createQueue } from "../testing/createQueue.js";
import { TrackedWorker } from "../workers/trackedWorker.js";
import { HeadroomTracker } from "./headroomTracker.js";

const TARGET_MS = 10_000;
const SAMPLE_INTERVAL_MS = 400;
const LOOKAHEAD_MS = 1500;
const TASK_MS = 8000;

/** Computes the headroom under a load that swings within seconds. */
function computeHeadroom(atMs: number): number {
    return 2.2 + 0.6 * Math.sin(atMs / 1000);
}

/** Computes the lowest headroom while a task runs that starts now. */
function computeLowest(atMs: number): number {
    let lowest = Infinity;
    for (let passedMs = 0; passedMs <= TASK_MS; passedMs += 100) {
        lowest = Math.min(lowest, computeHeadroom(atMs + passedMs));
    }
    return lowest;
}

function createServingTask(): Task {
    const spec = createStep({ image: "serving", tailLatencyTargetMs: TARGET_MS, longRunning: true });
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

describe("HeadroomTracker", () => {
    describe("when the load of a serving task swings faster than best-effort tasks end", () => {
        it("estimates less excess headroom for placements, but no less than the image's lowest", () => {
            const worker = new TrackedWorker(
                { id: "w", capacity: { cpuMillis: 16_000 } } as unknown as WorkerEntry,
                () => 0,
                () => 1,
            );
            const estimator = new HeadroomEstimator();
            const tracker = new HeadroomTracker(estimator);
            const task = createServingTask();
            let expectedExcess = 0;
            let placementExcess = 0;
            for (let nowMs = 0; nowMs < 60_000; nowMs += SAMPLE_INTERVAL_MS) {
                task.measurement = TARGET_MS / computeHeadroom(nowMs);
                tracker.recordMeasurements(worker, [task], [], nowMs);
                if (nowMs < 20_000) {
                    continue;
                }
                const lowest = computeLowest(nowMs);
                const placement = tracker.estimatePlacementHeadroom(task, nowMs + LOOKAHEAD_MS) ?? 0;
                const expected = tracker.estimateHeadroom(task, nowMs + LOOKAHEAD_MS) ?? 0;
                expectedExcess += Math.max(0, expected - lowest);
                placementExcess += Math.max(0, placement - lowest);
                expect(placement).toBeGreaterThanOrEqual(
                    Math.min(expected, estimator.estimateLowestHeadroom("serving")),
                );
            }
            expect(placementExcess).toBeLessThan(expectedExcess * 0.6);
        });
    });

    describe("when a serving task was never sampled", () => {
        it("returns undefined instead of an estimate", () => {
            const tracker = new HeadroomTracker(new HeadroomEstimator());
            expect(tracker.estimatePlacementHeadroom(createServingTask(), 1000)).toBeUndefined();
        });
    });
});
