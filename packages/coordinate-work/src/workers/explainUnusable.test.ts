import { describe, expect, it } from "@jest/globals";
import { WorkerState } from "@sardinestage/describe-work";
import { applyRunStart } from "@sardinestage/track-jobs";
import { limits } from "../limits.js";
import { createLongRunningTask } from "../testing/createLongRunningTask.js";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import { computeStartsLeft } from "./computeStartsLeft.js";
import { explainUnusable } from "./explainUnusable.js";
import type { TrackedWorker } from "./trackedWorker.js";
import { UnusableReason } from "./unusableReason.js";

const NOW_MS = 100_000;
const PROBATION_UNTIL_MS = NOW_MS - 500;

const CHANGES: Readonly<Record<UnusableReason, (worker: TrackedWorker) => void>> = {
    [UnusableReason.Unlisted]: worker => worker.isUnlisted = true,
    [UnusableReason.Draining]: worker => worker.entry = { ...worker.entry, state: WorkerState.Draining },
    [UnusableReason.Silent]: worker => worker.answeredAtMs = NOW_MS - limits.workerSilenceMs - 1,
    [UnusableReason.Unreported]: worker => worker.hasReported = false,
    [UnusableReason.StrayRuns]: worker => worker.strayRuns.add("stray"),
    [UnusableReason.Paused]: worker => worker.blockedUntilMs = NOW_MS + 1,
    [UnusableReason.Probation]: worker => worker.probationUntilMs = NOW_MS + 1,
    [UnusableReason.OnTrial]: worker => {
        worker.isOnTrial = true;
        worker.probationUntilMs = PROBATION_UNTIL_MS;
        startTask(worker, PROBATION_UNTIL_MS);
    },
    [UnusableReason.Evacuated]: () => evacuated.add("here"),
};

const evacuated = new Set<string>();

function createWorker(): TrackedWorker {
    evacuated.clear();
    const worker = createTrackedWorker("worker", undefined, 0, domain => evacuated.has(domain));
    worker.hasReported = true;
    worker.answeredAtMs = NOW_MS;
    return worker;
}

function startTask(worker: TrackedWorker, atMs: number): void {
    const task = createLongRunningTask();
    applyRunStart(task, worker.entry.id, 1, atMs);
    worker.tasks.add(task);
}

describe("explainUnusable", () => {
    describe.each(Object.values(UnusableReason))("when the reason is %s", reason => {
        it("says so, and the worker gets no start", () => {
            const worker = createWorker();
            expect(explainUnusable(worker, NOW_MS)).toBeUndefined();
            CHANGES[reason](worker);
            expect(explainUnusable(worker, NOW_MS)).toBe(reason);
            expect(computeStartsLeft(worker, NOW_MS)).toBe(0);
        });
    });

    describe("when the worker has left a start unanswered", () => {
        it("counts as silent until its next answer to a renewal", () => {
            const worker = createWorker();
            worker.startUnansweredAtMs = NOW_MS + 1;
            expect(explainUnusable(worker, NOW_MS + 2)).toBe(UnusableReason.Silent);
            worker.answeredAtMs = NOW_MS + 3;
            expect(explainUnusable(worker, NOW_MS + 4)).toBeUndefined();
        });
    });

    describe("when a worker on trial has only tasks from before its probation", () => {
        it("lets it have one start", () => {
            const worker = createWorker();
            worker.isOnTrial = true;
            worker.probationUntilMs = PROBATION_UNTIL_MS;
            startTask(worker, PROBATION_UNTIL_MS - 1);
            expect(explainUnusable(worker, NOW_MS)).toBeUndefined();
            expect(computeStartsLeft(worker, NOW_MS)).toBe(1);
        });
    });
});
