import { describe, expect, it } from "@jest/globals";
import type { TaskSpec } from "@sardinestage/types";
import { Urgency, WorkKind } from "@sardinestage/types";
import { EvictionBudget } from "./evictionBudget.js";
import { planInterferenceStep } from "./planInterferenceStep.js";
import { planPreemption } from "./planPreemption.js";
import type { RunningBatchTask } from "./runningBatchTask.js";

function createBatch(taskId: string, changes: Partial<RunningBatchTask> = {}, urgency = Urgency.Low): RunningBatchTask {
    const spec: TaskSpec = {
        taskId,
        team: "p",
        kind: WorkKind.Batch,
        urgency,
        taskClass: taskId,
        size: { cpuMillis: 1000, memoryMb: 1, accelerators: 0, slots: 1 },
        expectedRunMs: 1,
        payload: "",
    };
    return { spec, throttle: 0, interference: 0.1, lossMs: 0, ...changes };
}

const SLOW = { slowdown: 2, slowdownLimit: 1.3, isSettled: true, mayEvict: true };

describe("planInterferenceStep", () => {
    describe("when a service is slow", () => {
        it("throttles the task that interferes most first", () => {
            const batch = [createBatch("quiet"), createBatch("noisy", { interference: 0.8 })];
            expect(planInterferenceStep({ ...SLOW, batch })).toMatchObject({ taskId: "noisy", throttle: 0.5 });
        });

        it("evicts only a task at the highest throttle, and only within the eviction budget", () => {
            const batch = [createBatch("noisy", { interference: 0.8, throttle: 0.9 })];
            expect(planInterferenceStep({ ...SLOW, batch })?.throttle).toBe(1);
            expect(planInterferenceStep({ ...SLOW, batch, mayEvict: false })).toBeUndefined();
        });

        it("waits until the last step shows in the reports", () => {
            expect(planInterferenceStep({ ...SLOW, batch: [createBatch("a")], isSettled: false })).toBeUndefined();
        });
    });

    describe("when services have recovered", () => {
        const batch = [createBatch("a", { throttle: 0.9 })];

        it("reduces throttling step by step", () => {
            expect(planInterferenceStep({ ...SLOW, batch, slowdown: 1 })?.throttle).toBe(0.5);
        });

        it("keeps throttling while the slowdown is near the limit", () => {
            expect(planInterferenceStep({ ...SLOW, batch, slowdown: 1.2 })).toBeUndefined();
        });
    });
});

describe("planPreemption", () => {
    const urgent = createBatch("urgent", {}, Urgency.Critical).spec;
    const view = {
        pending: [urgent],
        freeCapacity: { cpuMillis: 500, memoryMb: 10, accelerators: 0, slots: 1 },
        estimateSize: (spec: TaskSpec) => spec.size,
        mayPreempt: () => true,
        maxEvictions: 5,
    };

    describe("when urgent work doesn't fit", () => {
        it("evicts the task that loses the least work", () => {
            const batch = [createBatch("long", { lossMs: 900 }), createBatch("short", { lossMs: 5 })];
            expect(planPreemption({ ...view, batch }).map(each => each.taskId)).toEqual(["short"]);
        });

        it("evicts no task that is equally urgent or protected by a guaranteed share", () => {
            expect(planPreemption({ ...view, batch: [createBatch("a", {}, Urgency.Critical)] })).toEqual([]);
            expect(planPreemption({ ...view, batch: [createBatch("a")], mayPreempt: () => false })).toEqual([]);
        });

        it("evicts nothing when that would not free enough capacity", () => {
            const freeCapacity = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };
            expect(planPreemption({ ...view, freeCapacity, batch: [createBatch("a")], maxEvictions: 0 })).toEqual([]);
        });
    });
});

describe("EvictionBudget", () => {
    describe("when it is spent", () => {
        it("allows more only as a minute passes", () => {
            const budget = new EvictionBudget(1);
            budget.recordEviction(0);
            expect(budget.getRemaining(59_999)).toBe(0);
            expect(budget.getRemaining(60_000)).toBe(1);
        });
    });
});
