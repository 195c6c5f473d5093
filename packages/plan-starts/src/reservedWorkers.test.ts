import { describe, expect, it } from "@jest/globals";
import type { JobSpec, QueueConfig, StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { Job, openDueOccurrences } from "@sardinestage/track-jobs";
import { planStarts } from "./planStarts.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerCapacity } from "./workerCapacity.js";

const NOW_MS = 1_800_000_000_000;

let jobCount = 0;

function createDemand(
    step: Partial<StepSpec>,
    changes: Partial<StepDemand> = {},
    queue: Partial<QueueConfig> = {},
): StepDemand {
    const spec: JobSpec = { payload: "", steps: [createStep(step)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    const config: QueueConfig = {
        name: "queue",
        host: "",
        pathPrefix: "",
        service: "service",
        priority: 0,
        maxAttempts: 3,
        stretch: 2,
        targetLatencyMs: 500,
        ...queue,
    };
    const job = new Job(`job${jobCount++}`, spec, config, NOW_MS);
    openDueOccurrences(job, NOW_MS);
    const run = job.openOccurrences.get(0)?.steps[0];
    if (run === undefined) {
        throw new Error("The first occurrence of the job isn't open.");
    }
    return {
        step: run,
        waiting: run.tasks,
        isStarted: false,
        remainingMs: 1000,
        waitedMs: 0,
        slackMs: 1000,
        lateSlackMs: 5000,
        ...changes,
    };
}

function createWorker(workerId: string, changes: Partial<WorkerCapacity> = {}): WorkerCapacity {
    return {
        workerId,
        service: "service",
        rack: "rack",
        labels: ["kind", "rack"],
        capacityCpuMillis: 16_000,
        freeCpuMillis: 16_000,
        runToCompletionCpuMillis: 0,
        freeMemoryMb: 64_000,
        freeAccelerators: 0,
        bestEffortCpuMillis: 0,
        servingTasks: [],
        bestEffortSpecs: [],
        startsLeft: 1000,
        isReserved: false,
        ...changes,
    };
}

const rules = {
    maxStarts: 1000,
    maxBestEffortWaitMs: 2000,
    isAdvised: () => true,
    describePlacement: () => ({ latencyRatio: 0, isInterfering: false, similarSensitivityShare: 1 }),
};

describe("planStarts", () => {
    describe("when a worker is reserved for an interrupted long-running task that doesn't fit yet", () => {
        it("leaves room there to another interrupted task, but not to an equal one that has never run", () => {
            const large = createDemand({ longRunning: true, cpuMillis: 10_000 });
            const fresh = createDemand({ longRunning: true, cpuMillis: 4000 });
            const small = createDemand({ longRunning: true, cpuMillis: 4000 }, {}, { priority: 2 });
            [large, small].forEach(({ waiting }) => waiting[0].run = 1);
            const workers = [createWorker("w", { freeCpuMillis: 9000, runToCompletionCpuMillis: 7000 })];
            const plan = planStarts([large, fresh, small], workers, rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([small.step]);
            expect(plan.unmet).toEqual([large, fresh]);
        });

        it("starts another interrupted task there only if no other worker has room for it", () => {
            const large = createDemand({ longRunning: true, cpuMillis: 10_000 });
            const small = createDemand({ longRunning: true, cpuMillis: 4000, tailLatencyTargetMs: 100, taskCount: 3 });
            [large, small].forEach(({ waiting }) => waiting[0].run = 1);
            const workers = [
                createWorker("reserved", { freeCpuMillis: 9000, runToCompletionCpuMillis: 7000 }),
                createWorker("other", { freeCpuMillis: 9000, capacityCpuMillis: 9000 }),
            ];
            const { starts } = planStarts([large, small], workers, rules);
            expect(starts.map(start => start.workerId)).toEqual(["other", "other", "reserved"]);
        });

        it("closes it to further tasks once room is being freed there for one", () => {
            const large = createDemand({ longRunning: true, cpuMillis: 10_000 });
            const next = createDemand({ longRunning: true, cpuMillis: 6000 }, { reservedWorkerIds: ["w"] });
            const small = createDemand({ longRunning: true, cpuMillis: 4000 }, {}, { priority: 2 });
            [large, next, small].forEach(({ waiting }) => waiting[0].run = 1);
            const workers = [createWorker("w", { freeCpuMillis: 5000, runToCompletionCpuMillis: 11_000 })];
            expect(planStarts([large, next, small], workers, rules).starts).toEqual([]);
            expect(workers[0].startsLeft).toBe(0);
        });
    });
});
