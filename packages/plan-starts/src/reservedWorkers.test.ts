import { describe, expect, it } from "@jest/globals";
import { planStarts } from "./planStarts.js";
import { planFixture } from "./testing/planFixture.js";

const { createDemand, createWorker, rules } = planFixture;

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
