import { describe, expect, it } from "@jest/globals";
import type { StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { Job, openDueOccurrences } from "@sardinestage/track-jobs";
import { explainWait } from "./explainWait.js";
import type { StepDemand } from "./stepDemand.js";
import { WaitReason } from "./waitReason.js";
import type { WorkerCapacity } from "./workerCapacity.js";

const queue = {
    name: "queue",
    host: "host",
    pathPrefix: "/queue/",
    service: "service",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    targetLatencyMs: 1000,
};

function createDemand(changes: Partial<StepSpec>): StepDemand {
    const spec = { payload: "", steps: [createStep(changes)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    const job = new Job("job", spec, queue, 1);
    openDueOccurrences(job, 1);
    const [step] = [...job.openOccurrences.values()][0].steps;
    return {
        step,
        waiting: step.tasks,
        isStarted: false,
        remainingMs: 0,
        waitedMs: 0,
        slackMs: 0,
        lateSlackMs: 0,
    };
}

function createWorker(changes: Partial<WorkerCapacity> = {}): WorkerCapacity {
    return {
        workerId: "w",
        service: "service",
        rack: "r1",
        labels: ["kind", "r1"],
        capacityCpuMillis: 16_000,
        freeCpuMillis: 16_000,
        runToCompletionCpuMillis: 0,
        runToCompletionWork: 0,
        freeMemoryMb: 64_000,
        freeAccelerators: 0,
        bestEffortCpuMillis: 0,
        servingTasks: [],
        bestEffortSpecs: [],
        startsLeft: 5,
        isReserved: false,
        ...changes,
    };
}

const rules = {
    maxBestEffortWaitMs: 2000,
    isAdvised: (_task: unknown, workerId: string) => workerId !== "unadvised",
    describePlacement: () => ({ latencyRatio: 1, isInterfering: true, similarSensitivityShare: 1 }),
};

describe("explainWait", () => {
    it.each<[string, Partial<StepSpec>, Partial<WorkerCapacity>, WaitReason]>([
        ["no worker has the label", { requiredLabel: "other" }, {}, WaitReason.NotAllowed],
        ["the workers get no start", {}, { startsLeft: 0 }, WaitReason.WorkersUnusable],
        ["the workers are reserved", { longRunning: true }, { isReserved: true }, WaitReason.WorkersUnusable],
        ["accelerators are missing", { accelerators: 1 }, {}, WaitReason.Accelerators],
        ["memory is missing", { memoryMb: 70_000 }, {}, WaitReason.Memory],
        ["processor is missing", { cpuMillis: 5300 }, { freeCpuMillis: 3700 }, WaitReason.Processor],
        ["the advice allows no worker", {}, { workerId: "unadvised" }, WaitReason.Advice],
        ["serving tasks have no headroom", { isBestEffort: true }, {}, WaitReason.Headroom],
        ["a gang doesn't fit", { gang: true, taskCount: 9 }, {}, WaitReason.Gang],
        ["a worker is free", {}, {}, WaitReason.NextRound],
    ])("names the reason if %s", (_case, spec, worker, reason) => {
        expect(explainWait(createDemand(spec), [createWorker(worker)], rules)).toBe(reason);
    });

    it("names what an interrupted long-running task lacks on a reserved worker, where it may start", () => {
        const demand = createDemand({ longRunning: true, cpuMillis: 5300 });
        demand.waiting[0].run = 1;
        const workers = [createWorker({ isReserved: true, freeCpuMillis: 3700 })];
        expect(explainWait(demand, workers, rules)).toBe(WaitReason.Processor);
    });

    it("names the evacuation only if an evacuated worker would have room", () => {
        const demand = createDemand({ cpuMillis: 5300 });
        const full = [createWorker({ freeCpuMillis: 3700 })];
        expect(explainWait(demand, full, rules, [createWorker()])).toBe(WaitReason.Evacuated);
        expect(explainWait(demand, full, rules, full)).toBe(WaitReason.Processor);
        expect(explainWait(demand, [createWorker()], rules, [createWorker()])).toBe(WaitReason.NextRound);
    });

    it("names the condition that no worker meets together with those before it", () => {
        const workers = [createWorker({ freeMemoryMb: 0 }), createWorker({ freeCpuMillis: 0 })];
        expect(explainWait(createDemand({ cpuMillis: 1000 }), workers, rules)).toBe(WaitReason.Processor);
    });
});
