import { describe, expect, it } from "@jest/globals";
import type { StepSpec } from "@sardinestage/describe-work";
import { RunEnd } from "@sardinestage/describe-work";
import { ReservationPlanner } from "@sardinestage/plan-starts";
import { applyRunEnd, applyRunLost, TaskPhase } from "@sardinestage/track-jobs";
import { buildWorkerCapacity } from "../planning/buildWorkerCapacity.js";
import { createLongRunningTask } from "../testing/createLongRunningTask.js";
import { IdleScene } from "../testing/idleScene.js";
import { IdleReason } from "./idleReason.js";

const CAPACITY = { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 };

/** How a reason arises, what ends it, and what holds then. */
interface Case {
    readonly changes?: Partial<StepSpec>;
    readonly arrange: (scene: IdleScene) => void;
    readonly end: (scene: IdleScene) => void;
    readonly next: IdleReason | undefined;
}

function createWaitCase(
    change: (scene: IdleScene) => void,
    undo: (scene: IdleScene) => void,
    changes?: Partial<StepSpec>,
): Case {
    return {
        changes,
        arrange: scene => {
            change(scene);
            scene.planRound();
        },
        end: scene => {
            undo(scene);
            scene.planRound();
        },
        next: IdleReason.RecordPending,
    };
}

function createCapacityCase(changes: Partial<StepSpec>): Case {
    const other = createLongRunningTask(changes);
    return createWaitCase(scene => scene.startRun(other), scene => scene.worker.tasks.delete(other), changes);
}

const CASES: Readonly<Record<IdleReason, Case>> = {
    [IdleReason.StartGateClosed]: createWaitCase(scene => scene.isGateOpen = false, scene => scene.isGateOpen = true),
    [IdleReason.NoAuthority]: createWaitCase(scene => scene.hasAuthority = false, scene => scene.hasAuthority = true),
    [IdleReason.StartsHeldBack]: {
        arrange: scene => scene.explainer.noteHeldBack(),
        end: scene => scene.planRound(),
        next: IdleReason.RecordPending,
    },
    [IdleReason.NotReached]: {
        arrange: scene => {
            scene.rules = { ...scene.rules, maxStarts: 0 };
            scene.planRound();
        },
        end: scene => {
            scene.rules = { ...scene.rules, maxStarts: 1 };
            scene.planRound();
        },
        next: IdleReason.RecordPending,
    },
    [IdleReason.NotExamined]: {
        changes: { cpuMillis: 2000 },
        arrange: scene => {
            const others = Array.from({ length: 24 }, () => createLongRunningTask({ cpuMillis: 2000 }));
            scene.planRound(others);
            others.forEach(other => scene.explainer.explainWaiting(other.step));
        },
        end: scene => scene.planRound(),
        next: IdleReason.Processor,
    },
    [IdleReason.WorkersWithheld]: createWaitCase(
        scene => scene.worker.strayRuns.add("stray"),
        scene => scene.worker.strayRuns.clear(),
    ),
    [IdleReason.Evacuated]: createWaitCase(scene => scene.isEvacuated = true, scene => scene.isEvacuated = false),
    [IdleReason.WorkersReserved]: {
        arrange: scene => {
            const { rules, nowMs, task: { step } } = scene;
            const capacities = [{ ...buildWorkerCapacity(scene.worker, 1, () => undefined), isReserved: true }];
            const times = { isStarted: false, remainingMs: 0, waitedMs: 0, slackMs: 0, lateSlackMs: 0 };
            const unmet = [{ step, waiting: [scene.task], ...times }];
            scene.explainer.noteRound({ unmet, capacities, rules, plannedAtMs: nowMs });
        },
        end: scene => scene.planRound(),
        next: IdleReason.RecordPending,
    },
    [IdleReason.NoWorkerAllowed]: createWaitCase(
        () => undefined,
        scene => scene.worker.entry = { ...scene.worker.entry, labels: ["label"] },
        { requiredLabel: "label" },
    ),
    [IdleReason.Accelerators]: createWaitCase(
        () => undefined,
        scene => scene.worker.entry = { ...scene.worker.entry, capacity: { ...CAPACITY, accelerators: 1 } },
        { accelerators: 1 },
    ),
    [IdleReason.Memory]: createCapacityCase({ cpuMillis: 100 }),
    [IdleReason.Processor]: createCapacityCase({ memoryMb: 100 }),
    [IdleReason.OwnReservation]: {
        arrange: scene => {
            const other = createLongRunningTask();
            scene.startRun(other);
            other.phase = TaskPhase.Stopping;
            scene.task.run = 1;
            const reservations = new ReservationPlanner({ estimateDuration: () => 1, noteOutcome: () => undefined });
            scene.rules = { ...scene.rules, reservations };
            scene.planRound();
        },
        end: scene => {
            scene.worker.tasks.clear();
            scene.planRound();
        },
        next: IdleReason.RecordPending,
    },
    [IdleReason.StepLimit]: {
        changes: { cpuMillis: 100, memoryMb: 100, maxTasksPerWorker: 1, taskCount: 2 },
        arrange: scene => {
            scene.startRun(scene.task.step.getTask(1));
            scene.planRound();
        },
        end: scene => {
            const other = scene.task.step.getTask(1);
            scene.worker.tasks.delete(other);
            applyRunLost(other);
            scene.planRound();
        },
        next: IdleReason.RecordPending,
    },
    [IdleReason.Advice]: createWaitCase(
        scene => scene.rules = { ...scene.rules, isAdvised: () => false },
        scene => scene.rules = { ...scene.rules, isAdvised: () => true },
    ),
    [IdleReason.Headroom]: createWaitCase(
        scene => {
            const view = { latencyRatio: Infinity, isInterfering: true, similarSensitivityShare: 1 };
            scene.rules = { ...scene.rules, describePlacement: () => view };
        },
        scene => scene.rules = { ...scene.rules, maxBestEffortWaitMs: 0 },
        { isBestEffort: true },
    ),
    [IdleReason.Gang]: {
        changes: { gang: true, taskCount: 2 },
        arrange: scene => scene.planRound(),
        end: scene => {
            scene.worker.entry = { ...scene.worker.entry, capacity: { ...CAPACITY, cpuMillis: 2000, memoryMb: 2000 } };
            scene.planRound();
        },
        next: IdleReason.RecordPending,
    },
    [IdleReason.NextRound]: {
        changes: { taskCount: 1 },
        arrange: scene => {
            scene.worker.isOnTrial = true;
            const capacities = [buildWorkerCapacity(scene.worker, 1, () => undefined)];
            const { step } = scene.task;
            const waiting = [scene.task];
            const times = { isStarted: false, remainingMs: 0, waitedMs: 0, slackMs: 0, lateSlackMs: 0 };
            const unmet = [{ step, waiting, ...times }];
            scene.explainer.noteRound({ unmet, capacities, rules: scene.rules, plannedAtMs: scene.nowMs });
        },
        end: scene => scene.planRound(),
        next: IdleReason.RecordPending,
    },
    [IdleReason.RecordPending]: {
        arrange: scene => scene.startRun(),
        end: scene => scene.task.isStartQueued = true,
        next: IdleReason.StartQueued,
    },
    [IdleReason.StartQueued]: {
        arrange: scene => {
            scene.startRun();
            scene.task.isStartQueued = true;
        },
        end: scene => scene.send(),
        next: IdleReason.StartUnderWay,
    },
    [IdleReason.StartUnderWay]: {
        arrange: scene => {
            scene.startRun();
            scene.send();
        },
        end: scene => scene.task.isStartUnderWay = false,
        next: IdleReason.StartNotListed,
    },
    [IdleReason.StartUnanswered]: {
        arrange: scene => {
            scene.startRun();
            scene.send();
            Object.assign(scene.task, { isStartUnderWay: false, isStartUnconfirmed: true });
        },
        end: scene => scene.task.phase = TaskPhase.Stopping,
        next: IdleReason.StopPending,
    },
    [IdleReason.StartNotListed]: {
        arrange: scene => {
            scene.startRun();
            scene.send();
            scene.task.isStartUnderWay = false;
        },
        end: scene => scene.noteListed(),
        next: undefined,
    },
    [IdleReason.StopPending]: {
        arrange: scene => {
            scene.run();
            scene.task.phase = TaskPhase.Stopping;
        },
        end: scene => {
            scene.worker.tasks.delete(scene.task);
            applyRunEnd(scene.task, { run: 1, end: RunEnd.Stopped, checkpoint: "" }, 1);
        },
        next: IdleReason.NotReached,
    },
    [IdleReason.WorkerUnknown]: {
        arrange: scene => {
            scene.run();
            scene.worker.tasks.delete(scene.task);
            scene.skipReports();
        },
        end: scene => scene.dropRun(),
        next: IdleReason.NotReached,
    },
    [IdleReason.WorkerUnlisted]: {
        arrange: scene => {
            scene.run();
            scene.skipReports();
            scene.worker.missedRenewals = 2;
            scene.worker.isUnlisted = true;
        },
        end: scene => scene.dropRun(),
        next: IdleReason.NotReached,
    },
    [IdleReason.WorkerSilent]: {
        arrange: scene => {
            scene.run();
            scene.skipReports();
            scene.worker.missedRenewals = 2;
        },
        end: scene => {
            scene.worker.missedRenewals = 0;
            scene.noteListed();
        },
        next: undefined,
    },
    [IdleReason.WorkerUnreported]: {
        arrange: scene => {
            scene.run();
            scene.skipReports();
            scene.worker.hasReported = false;
        },
        end: scene => scene.noteListed(),
        next: undefined,
    },
    [IdleReason.RunNotListed]: {
        arrange: scene => {
            scene.run();
            scene.skipReports();
        },
        end: scene => scene.dropRun(),
        next: IdleReason.NotReached,
    },
};

describe("explainIdle", () => {
    describe.each(Object.values(IdleReason))("when the reason is %s", reason => {
        const { changes, arrange, end, next } = CASES[reason];

        it("says so, and says what follows once that has ended", () => {
            const scene = new IdleScene(changes);
            arrange(scene);
            expect(scene.explain()).toBe(reason);
            end(scene);
            expect(scene.explain()).toBe(next);
        });
    });

    describe("when a worker has listed the run a moment ago", () => {
        it("has nothing to explain", () => {
            const scene = new IdleScene();
            scene.run();
            expect(scene.explain()).toBeUndefined();
        });
    });
});
