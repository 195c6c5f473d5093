import { describe, expect, it } from "@jest/globals";
import type { StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { Job, openDueOccurrences, TaskPhase } from "@sardinestage/track-jobs";
import { planStarts } from "./planStarts.js";
import { PreemptionPlanner } from "./preemptionPlanner.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerCapacity } from "./workerCapacity.js";

const RULES = {
    maxStarts: 1000,
    maxBestEffortWaitMs: 2000,
    isAdvised: () => true,
    describePlacement: () => ({ latencyRatio: 0, isInterfering: false, similarSensitivityShare: 1 }),
};
const CAPACITY = 8000;
const BATCH = 3000;
const EQUAL = 2000;

function createDemand(id: string, changes: Partial<StepSpec>, priority: number, slackMs: number): StepDemand {
    const steps = [createStep(changes)];
    const queue = {
        name: "queue",
        host: "host",
        pathPrefix: "/",
        service: "service",
        priority,
        maxAttempts: 3,
        stretch: 2,
        targetLatencyMs: 1000,
    };
    const job = new Job(id, { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, queue, 1);
    openDueOccurrences(job, 1);
    const [step] = [...job.openOccurrences.values()][0].steps;
    return { step, waiting: step.tasks, isStarted: true, remainingMs: 0, waitedMs: 0, slackMs, lateSlackMs: 0 };
}

function createWorker(freeCpuMillis: number, runToCompletionCpuMillis: number): WorkerCapacity {
    const worker = {
        workerId: "worker",
        service: "service",
        rack: "",
        labels: ["kind", "rack"],
        capacityCpuMillis: CAPACITY,
        freeCpuMillis,
        runToCompletionCpuMillis,
        runToCompletionWork: 0,
        freeMemoryMb: 64_000,
        freeAccelerators: 0,
        bestEffortCpuMillis: 0,
        servingTasks: [],
        bestEffortSpecs: [],
        startsLeft: 1000,
        isReserved: false,
    };
    return worker;
}

// Guards against work that is stopped for a task which then may not start there.
describe("When work is preempted for an interrupted task on a worker that a larger interrupted task waits for", () => {
    it("the task starts there once that work has ended", () => {
        // The large one fits only once the work of its own priority has ended too, which nothing stops.
        const large = createDemand("large", { longRunning: true, cpuMillis: CAPACITY }, 1, 0);
        const small = createDemand("small", { longRunning: true, cpuMillis: 4000 }, 1, 10);
        large.waiting[0].run = 1;
        small.waiting[0].run = 1;
        const batch = createDemand("batch", { cpuMillis: BATCH }, 2, 0);
        const equal = createDemand("equal", { cpuMillis: EQUAL }, 1, 0);
        [batch, equal].forEach(({ waiting }) => waiting[0].phase = TaskPhase.Running);

        const before = [createWorker(CAPACITY - BATCH - EQUAL, BATCH + EQUAL)];
        const { unmet } = planStarts([large, small], before, RULES);
        expect(unmet.map(({ step }) => step.occurrence.job.id)).toEqual(["large", "small"]);
        const planner = new PreemptionPlanner(before, () => [...batch.waiting, ...equal.waiting], RULES.isAdvised);
        const found = unmet.map(demand => planner.plan(demand));
        expect(found[0]).toBeUndefined();
        const isPreempted = found[1] !== undefined;

        const after = [createWorker(isPreempted ? CAPACITY - EQUAL : CAPACITY - BATCH - EQUAL, EQUAL)];
        const reserved = { ...small, reservedWorkerIds: isPreempted ? ["worker"] : [] };
        const { starts } = planStarts([large, reserved], after, RULES);
        // Either nothing was stopped for the small one, or it gets the room.
        expect(starts.map(({ task }) => task.ref.jobId)).toEqual(isPreempted ? ["small"] : []);
    });
});
