import { describe, expect, it } from "@jest/globals";
import { TaskPhase } from "@sardinestage/track-jobs";
import { planStarts } from "./planStarts.js";
import { PreemptionPlanner } from "./preemptionPlanner.js";
import { planFixture } from "./testing/planFixture.js";

const { createDemand, createWorker, rules } = planFixture;

describe("planStarts", () => {
    describe("under a burst of work of lower priority", () => {
        it("starts urgent work first, and within a priority the job that can still finish on time", () => {
            const patient = createDemand({}, { slackMs: 10 }, { priority: 2 });
            const late = createDemand({}, { slackMs: -100 });
            const urgent = createDemand({}, { slackMs: 900 });
            const workers = [createWorker("w", { freeCpuMillis: 1000 })];
            const plan = planStarts([patient, late, urgent], workers, rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([urgent.step]);
            expect(plan.unmet).toEqual([late, patient]);
        });

        it("continues a started job before it starts one with less slack", () => {
            const started = createDemand({}, { slackMs: 3000, isStarted: true });
            const fresh = createDemand({}, { slackMs: 900 });
            const plan = planStarts([fresh, started], [createWorker("w", { freeCpuMillis: 1000 })], rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([started.step]);
        });

        it("starts a job that is likely to finish on time before one that is at risk", () => {
            const atRisk = createDemand({}, { slackMs: 100, remainingMs: 2000 });
            const likely = createDemand({}, { slackMs: 2500, remainingMs: 2000 });
            const late = createDemand({}, { slackMs: -100, remainingMs: 2000 });
            const plan = planStarts([late, atRisk, likely], [createWorker("w", { freeCpuMillis: 1000 })], rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([likely.step]);
            expect(plan.unmet).toEqual([atRisk, late]);
        });

        it("starts a run-to-completion step before a long-running one", () => {
            const longRunning = createDemand({ longRunning: true }, { slackMs: 10 });
            const runToCompletion = createDemand({}, { slackMs: 900 });
            const plan = planStarts(
                [longRunning, runToCompletion],
                [createWorker("w", { freeCpuMillis: 1000 })],
                rules,
            );
            expect(plan.starts.map(start => start.task.step)).toEqual([runToCompletion.step]);
        });
    });

    describe("when the lease of a long-running task has expired", () => {
        it("starts it again before a run-to-completion task takes its capacity", () => {
            const interrupted = createDemand({ longRunning: true }, { slackMs: 900 });
            interrupted.waiting[0].run = 1;
            const runToCompletion = createDemand({}, { slackMs: 10, isStarted: true });
            const plan = planStarts(
                [runToCompletion, interrupted],
                [createWorker("w", { freeCpuMillis: 1000 })],
                rules,
            );
            expect(plan.starts.map(start => start.task.step)).toEqual([interrupted.step]);
        });
    });

    describe("when an interrupted long-running task finds no worker with enough capacity", () => {
        it("reserves one for it, instead of giving each piece of capacity that comes free to smaller tasks", () => {
            const interrupted = createDemand({ longRunning: true, cpuMillis: 3000 });
            interrupted.waiting[0].run = 1;
            const small = createDemand({ taskCount: 4, cpuMillis: 1000 });
            const workers = [
                createWorker("soon", { freeCpuMillis: 2000, runToCompletionCpuMillis: 6000 }),
                createWorker("never", { freeCpuMillis: 2500, runToCompletionCpuMillis: 0 }),
            ];
            const plan = planStarts([small, interrupted], workers, rules);
            expect(plan.starts.map(start => start.workerId)).toEqual(["never", "never"]);
        });

        it("reserves no more workers than it needs", () => {
            const interrupted = createDemand({ longRunning: true, cpuMillis: 3000 });
            interrupted.waiting[0].run = 1;
            const small = createDemand({ taskCount: 4, cpuMillis: 1000 });
            const workers = ["a", "b"].map(id =>
                createWorker(id, { freeCpuMillis: 2000, runToCompletionCpuMillis: 6000 })
            );
            expect(planStarts([small, interrupted], workers, rules).starts.length).toBe(2);
        });
    });

    describe("when an interrupted long-running task may not run on every worker", () => {
        it("reserves no worker on which its step has reached its task limit, but one on which it may run", () => {
            const interrupted = createDemand({
                taskCount: 2,
                longRunning: true,
                cpuMillis: 3000,
                maxTasksPerWorker: 1,
            });
            const [there, waiting] = interrupted.step.tasks;
            Object.assign(there, { phase: TaskPhase.Running, workerId: "full" });
            waiting.run = 1;
            const small = createDemand({ taskCount: 9, cpuMillis: 1000 });
            const worker = { freeCpuMillis: 2000, runToCompletionCpuMillis: 6000 };
            const workers = [createWorker("full", { ...worker, freeCpuMillis: 4000 }), createWorker("open", worker)];
            const plan = planStarts([small, { ...interrupted, waiting: [waiting] }], workers, rules);
            expect(new Set(plan.starts.map(start => start.workerId))).toEqual(new Set(["full"]));
        });
    });

    describe("when tasks were preempted for a larger task", () => {
        it("doesn't give the freed capacity back to the preempted tasks piece by piece", () => {
            const large = createDemand({ memoryMb: 8000 }, { reservedWorkerIds: ["w"] });
            const stopped = createDemand({ memoryMb: 1000, isBestEffort: true }, {}, { priority: 2 });
            const workers = [createWorker("w", { freeMemoryMb: 3000 })];
            expect(planStarts([stopped, large], workers, rules).starts).toEqual([]);
        });

        it("gives the freed capacity to the larger task, and the rest to others", () => {
            const large = createDemand({ memoryMb: 8000 }, { reservedWorkerIds: ["w"] });
            const small = createDemand({ memoryMb: 1000, isBestEffort: true }, {}, { priority: 2 });
            const workers = [createWorker("w", { freeMemoryMb: 9000 })];
            expect(planStarts([small, large], workers, rules).starts.map(({ task }) => task.step))
                .toEqual([large.step, small.step]);
        });
    });

    describe("when a worker is full", () => {
        it("never plans more than its free capacity", () => {
            const demand = createDemand({ taskCount: 100, cpuMillis: 3000 });
            const plan = planStarts([demand], [createWorker("a"), createWorker("b")], rules);
            expect(plan.starts.length).toBe(10);
            expect(plan.unmet).toEqual([demand]);
        });

        it("still starts a small task that fits when a larger one doesn't", () => {
            const large = createDemand({ cpuMillis: 20_000 }, { slackMs: 1 });
            const small = createDemand({ cpuMillis: 500 }, { slackMs: 900 });
            const plan = planStarts([large, small], [createWorker("a")], rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([small.step]);
        });
    });

    describe("when a step is constrained", () => {
        it("respects the required label, the service and the limit of tasks per worker", () => {
            const demand = createDemand({ taskCount: 5, requiredLabel: "special", maxTasksPerWorker: 2 });
            const workers = [
                createWorker("plain"),
                createWorker("other", { service: "other", labels: ["special"] }),
                createWorker("special", { labels: ["special"] }),
            ];
            const plan = planStarts([demand], workers, rules);
            expect(plan.starts.map(start => start.workerId)).toEqual(["special", "special"]);
        });

        it("starts all of a gang or none", () => {
            const gang = createDemand({ taskCount: 5, gang: true, cpuMillis: 4000 });
            expect(planStarts([gang], [createWorker("a")], rules).starts).toEqual([]);
            expect(planStarts([gang], [createWorker("a"), createWorker("b")], rules).starts.length).toBe(5);
        });

        it("places a gang on one rack if it fits there", () => {
            const gang = createDemand({ taskCount: 4, gang: true, cpuMillis: 8000, sameRack: true });
            const workers = [
                createWorker("a", { rack: "r1" }),
                createWorker("b", { rack: "r2" }),
                createWorker("c", { rack: "r2" }),
            ];
            const used = planStarts([gang], workers, rules).starts.map(start => start.workerId);
            expect(new Set(used)).toEqual(new Set(["b", "c"]));
        });
    });

    describe("when best-effort tasks would make serving tasks miss their targets on every worker", () => {
        const strained = {
            ...rules,
            describePlacement: () => ({ latencyRatio: 1.5, isInterfering: true, similarSensitivityShare: 1 }),
        };

        it("lets them wait, but only for a limited time", () => {
            const fresh = createDemand({ isBestEffort: true });
            const old = createDemand({ isBestEffort: true }, { waitedMs: 3000 });
            expect(planStarts([fresh], [createWorker("a")], strained).starts).toEqual([]);
            expect(planStarts([old], [createWorker("a")], strained).starts.length).toBe(1);
        });

        it("starts one that has waited long enough though a new one of the same kind waits", () => {
            const fresh = createDemand({ isBestEffort: true }, { slackMs: 10, remainingMs: 1 });
            const old = createDemand({ isBestEffort: true }, { slackMs: 20, remainingMs: 1, waitedMs: 3000 });
            const plan = planStarts([fresh, old], [createWorker("a")], strained);
            expect(plan.starts.map(start => start.task)).toEqual(old.waiting);
            expect(plan.unmet).toEqual([fresh]);
        });
    });

    describe("when a task has failed on a worker", () => {
        it("tries another worker first", () => {
            const demand = createDemand({});
            demand.waiting[0].lastFailedWorkerId = "a";
            const workers = [createWorker("a"), createWorker("b", { freeCpuMillis: 1000 })];
            expect(planStarts([demand], workers, rules).starts[0].workerId).toBe("b");
        });
    });
});

describe("planStarts under sustained load", () => {
    describe("when run-to-completion tasks keep arriving", () => {
        it("doesn't delay a long-running task for longer than 3 s", () => {
            const longRunning = createDemand({ cpuMillis: 1000, longRunning: true }, { waitedMs: 3000 });
            const runToCompletion = createDemand({ cpuMillis: 1000 });
            const plan = planStarts(
                [runToCompletion, longRunning],
                [createWorker("w", { freeCpuMillis: 1000 })],
                rules,
            );
            expect(plan.starts.map(start => start.task)).toEqual(longRunning.waiting);
        });
    });
});

describe("PreemptionPlanner", () => {
    describe("when urgent work fits on no worker", () => {
        it("preempts no task of the same or a higher priority", () => {
            const demand = createDemand({ cpuMillis: 4000 }, {}, { priority: 1 });
            const running = createDemand({ cpuMillis: 16_000 }, {}, { priority: 1 });
            const workers = [createWorker("a", { freeCpuMillis: 0 })];
            const planner = new PreemptionPlanner(workers, () => running.waiting, rules.isAdvised);
            expect(planner.plan(demand)).toBeUndefined();
        });

        it("preempts no task on a worker where the step has reached its task limit or advice is against it", () => {
            const demand = createDemand({ taskCount: 2, cpuMillis: 4000, maxTasksPerWorker: 1 });
            const [there, waiting] = demand.step.tasks;
            Object.assign(there, { phase: TaskPhase.Running, workerId: "full" });
            const runningTasks = ["full", "advised against", "open"].map(() =>
                createDemand({}, {}, { priority: 2 }).waiting
            );
            runningTasks.flat().forEach(task => task.phase = TaskPhase.Running);
            const workers = ["full", "advised against", "open"].map(id => createWorker(id, { freeCpuMillis: 3000 }));
            const listTasks = (id: string) => runningTasks[workers.findIndex(worker => worker.workerId === id)];
            const planner = new PreemptionPlanner(workers, listTasks, (_task, id) => id !== "advised against");
            expect(planner.plan({ ...demand, waiting: [waiting] })?.workerId).toBe("open");
            expect(planner.plan({ ...demand, waiting: [waiting] })).toBeUndefined();
        });

        it("preempts no best-effort task, which reserves no CPU, for work that lacks only CPU", () => {
            const demand = createDemand({ cpuMillis: 4000 });
            const bestEffort = createDemand({ cpuMillis: 1000, isBestEffort: true }, {}, { priority: 2 });
            const reserving = createDemand({ cpuMillis: 4000 }, {}, { priority: 2 });
            const runningTasks = [...bestEffort.waiting, ...reserving.waiting];
            runningTasks.forEach(task => task.phase = TaskPhase.Running);
            reserving.waiting[0].percent = 50;
            const planner = new PreemptionPlanner(
                [createWorker("a", { freeCpuMillis: 0 })],
                () => runningTasks,
                rules.isAdvised,
            );
            expect(planner.plan(demand)?.victims).toEqual(reserving.waiting);
        });
    });
});
