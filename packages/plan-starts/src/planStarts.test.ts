import { describe, expect, it } from "@jest/globals";
import type { JobSpec, QueueConfig, StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { Job, openDueOccurrences, TaskPhase } from "@sardinestage/track-jobs";
import { DisplacementPlanner } from "./displacementPlanner.js";
import { planStarts } from "./planStarts.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerRoom } from "./workerRoom.js";

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
    const run = job.open.get(0)?.steps[0];
    if (run === undefined) {
        throw new Error("The occurrence isn't open.");
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

function createWorker(workerId: string, changes: Partial<WorkerRoom> = {}): WorkerRoom {
    return {
        workerId,
        service: "service",
        rack: "rack",
        labels: ["kind", "rack"],
        capacityCpuMillis: 16_000,
        freeCpuMillis: 16_000,
        endingCpuMillis: 0,
        freeMemoryMb: 64_000,
        freeAccelerators: 0,
        fillCpuMillis: 0,
        servers: [],
        fillers: [],
        startsLeft: 1000,
        ...changes,
    };
}

const rules = {
    maxStarts: 1000,
    longestWaitMs: 2000,
    isAdvised: () => true,
    describePlace: () => ({ strain: 0, isHarmful: false, alikeShare: 1 }),
};

describe("planStarts", () => {
    describe("under a burst of patient work", () => {
        it("starts urgent work first, and within a priority what can still be in time", () => {
            const patient = createDemand({}, { slackMs: 10 }, { priority: 2 });
            const late = createDemand({}, { slackMs: -100 });
            const urgent = createDemand({}, { slackMs: 900 });
            const rooms = [createWorker("w", { freeCpuMillis: 1000 })];
            const plan = planStarts([patient, late, urgent], rooms, rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([urgent.step]);
            expect(plan.unmet).toEqual([late, patient]);
        });

        it("finishes what has begun before it begins what is tighter", () => {
            const begun = createDemand({}, { slackMs: 3000, isStarted: true });
            const fresh = createDemand({}, { slackMs: 900 });
            const plan = planStarts([fresh, begun], [createWorker("w", { freeCpuMillis: 1000 })], rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([begun.step]);
        });

        it("begins what is likely to be in time before what hardly can be", () => {
            const doubtful = createDemand({}, { slackMs: 100, remainingMs: 2000 });
            const likely = createDemand({}, { slackMs: 2500, remainingMs: 2000 });
            const late = createDemand({}, { slackMs: -100, remainingMs: 2000 });
            const plan = planStarts([late, doubtful, likely], [createWorker("w", { freeCpuMillis: 1000 })], rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([likely.step]);
            expect(plan.unmet).toEqual([doubtful, late]);
        });

        it("lets work that ends go before work that stays", () => {
            const staying = createDemand({ longRunning: true }, { slackMs: 10 });
            const ending = createDemand({}, { slackMs: 900 });
            const plan = planStarts([staying, ending], [createWorker("w", { freeCpuMillis: 1000 })], rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([ending.step]);
        });
    });

    describe("when the lease of a long-running task has lapsed", () => {
        it("starts it again before work that ends takes its room", () => {
            const interrupted = createDemand({ longRunning: true }, { slackMs: 900 });
            interrupted.waiting[0].run = 1;
            const ending = createDemand({}, { slackMs: 10, isStarted: true });
            const plan = planStarts([ending, interrupted], [createWorker("w", { freeCpuMillis: 1000 })], rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([interrupted.step]);
        });
    });

    describe("when an interrupted long-running task finds no worker with enough room", () => {
        it("keeps one for it, instead of giving each piece that comes free to smaller tasks", () => {
            const interrupted = createDemand({ longRunning: true, cpuMillis: 3000 });
            interrupted.waiting[0].run = 1;
            const small = createDemand({ taskCount: 4, cpuMillis: 1000 });
            const rooms = [
                createWorker("soon", { freeCpuMillis: 2000, endingCpuMillis: 6000 }),
                createWorker("never", { freeCpuMillis: 2500, endingCpuMillis: 0 }),
            ];
            const plan = planStarts([small, interrupted], rooms, rules);
            expect(plan.starts.map(start => start.workerId)).toEqual(["never", "never"]);
        });

        it("keeps no more than it needs", () => {
            const interrupted = createDemand({ longRunning: true, cpuMillis: 3000 });
            interrupted.waiting[0].run = 1;
            const small = createDemand({ taskCount: 4, cpuMillis: 1000 });
            const rooms = ["a", "b"].map(id => createWorker(id, { freeCpuMillis: 2000, endingCpuMillis: 6000 }));
            expect(planStarts([small, interrupted], rooms, rules).starts.length).toBe(2);
        });
    });

    describe("when an interrupted long-running task may not go to every worker", () => {
        it("keeps no room where its step has as many tasks as it may have, but one where it may go", () => {
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
            const room = { freeCpuMillis: 2000, endingCpuMillis: 6000 };
            const rooms = [createWorker("full", { ...room, freeCpuMillis: 4000 }), createWorker("open", room)];
            const plan = planStarts([small, { ...interrupted, waiting: [waiting] }], rooms, rules);
            expect(new Set(plan.starts.map(start => start.workerId))).toEqual(new Set(["full"]));
        });
    });

    describe("when work was stopped to make room for a larger task", () => {
        it("doesn't give the room back to what was stopped, piece by piece", () => {
            const large = createDemand({ memoryMb: 8000 }, { promised: ["w"] });
            const stopped = createDemand({ memoryMb: 1000, fillsLeftover: true }, {}, { priority: 2 });
            const rooms = [createWorker("w", { freeMemoryMb: 3000 })];
            expect(planStarts([stopped, large], rooms, rules).starts).toEqual([]);
        });

        it("gives the room to what it was made for, and the rest to others", () => {
            const large = createDemand({ memoryMb: 8000 }, { promised: ["w"] });
            const small = createDemand({ memoryMb: 1000, fillsLeftover: true }, {}, { priority: 2 });
            const rooms = [createWorker("w", { freeMemoryMb: 9000 })];
            expect(planStarts([small, large], rooms, rules).starts.map(({ task }) => task.step))
                .toEqual([large.step, small.step]);
        });
    });

    describe("when a worker has no room", () => {
        it("never gives it more than it has", () => {
            const demand = createDemand({ taskCount: 100, cpuMillis: 3000 });
            const plan = planStarts([demand], [createWorker("a"), createWorker("b")], rules);
            expect(plan.starts.length).toBe(10);
            expect(plan.unmet).toEqual([demand]);
        });

        it("still starts the small that fit beside the large that don't", () => {
            const large = createDemand({ cpuMillis: 20_000 }, { slackMs: 1 });
            const small = createDemand({ cpuMillis: 500 }, { slackMs: 900 });
            const plan = planStarts([large, small], [createWorker("a")], rules);
            expect(plan.starts.map(start => start.task.step)).toEqual([small.step]);
        });
    });

    describe("when a step sets conditions", () => {
        it("keeps to the label, the service and the limit on one worker", () => {
            const demand = createDemand({ taskCount: 5, requiredLabel: "special", maxTasksPerWorker: 2 });
            const rooms = [
                createWorker("plain"),
                createWorker("other", { service: "other", labels: ["special"] }),
                createWorker("special", { labels: ["special"] }),
            ];
            const plan = planStarts([demand], rooms, rules);
            expect(plan.starts.map(start => start.workerId)).toEqual(["special", "special"]);
        });

        it("starts all of a gang or none", () => {
            const gang = createDemand({ taskCount: 5, gang: true, cpuMillis: 4000 });
            expect(planStarts([gang], [createWorker("a")], rules).starts).toEqual([]);
            expect(planStarts([gang], [createWorker("a"), createWorker("b")], rules).starts.length).toBe(5);
        });

        it("keeps a gang in one rack where it can", () => {
            const gang = createDemand({ taskCount: 4, gang: true, cpuMillis: 8000, sameRack: true });
            const rooms = [
                createWorker("a", { rack: "r1" }),
                createWorker("b", { rack: "r2" }),
                createWorker("c", { rack: "r2" }),
            ];
            const used = planStarts([gang], rooms, rules).starts.map(start => start.workerId);
            expect(new Set(used)).toEqual(new Set(["b", "c"]));
        });
    });

    describe("when filling work would make serving tasks miss their targets everywhere", () => {
        const strained = {
            ...rules,
            describePlace: () => ({ strain: 1.5, isHarmful: true, alikeShare: 1 }),
        };

        it("lets it wait, though not for ever", () => {
            const fresh = createDemand({ fillsLeftover: true });
            const old = createDemand({ fillsLeftover: true }, { waitedMs: 3000 });
            expect(planStarts([fresh], [createWorker("a")], strained).starts).toEqual([]);
            expect(planStarts([old], [createWorker("a")], strained).starts.length).toBe(1);
        });

        it("doesn't let one that has waited long enough go without because a fresh one of its kind rather waits", () => {
            const fresh = createDemand({ fillsLeftover: true }, { slackMs: 10, remainingMs: 1 });
            const old = createDemand({ fillsLeftover: true }, { slackMs: 20, remainingMs: 1, waitedMs: 3000 });
            const plan = planStarts([fresh, old], [createWorker("a")], strained);
            expect(plan.starts.map(start => start.task)).toEqual(old.waiting);
            expect(plan.unmet).toEqual([fresh]);
        });
    });

    describe("when a task has failed on a worker", () => {
        it("tries it elsewhere first", () => {
            const demand = createDemand({});
            demand.waiting[0].lastFailedOn = "a";
            const rooms = [createWorker("a"), createWorker("b", { freeCpuMillis: 1000 })];
            expect(planStarts([demand], rooms, rules).starts[0].workerId).toBe("b");
        });
    });
});

describe("planStarts under sustained load", () => {
    describe("when short work keeps coming", () => {
        it("doesn't keep a long-running task away for longer than 3 s", () => {
            const staying = createDemand({ cpuMillis: 1000, longRunning: true }, { waitedMs: 3000 });
            const ending = createDemand({ cpuMillis: 1000 });
            const plan = planStarts([ending, staying], [createWorker("w", { freeCpuMillis: 1000 })], rules);
            expect(plan.starts.map(start => start.task)).toEqual(staying.waiting);
        });
    });
});

describe("DisplacementPlanner", () => {
    describe("when urgent work finds no room", () => {
        it("takes nobody of the same or a higher priority", () => {
            const demand = createDemand({ cpuMillis: 4000 }, {}, { priority: 1 });
            const resident = createDemand({ cpuMillis: 16_000 }, {}, { priority: 1 });
            const rooms = [createWorker("a", { freeCpuMillis: 0 })];
            const planner = new DisplacementPlanner(rooms, () => resident.waiting, rules.isAdvised);
            expect(planner.plan(demand)).toBeUndefined();
        });

        it("stops nobody where the step has as many tasks as it may have, nor where advice is against it", () => {
            const demand = createDemand({ taskCount: 2, cpuMillis: 4000, maxTasksPerWorker: 1 });
            const [there, waiting] = demand.step.tasks;
            Object.assign(there, { phase: TaskPhase.Running, workerId: "full" });
            const residents = ["full", "advised against", "open"].map(() =>
                createDemand({}, {}, { priority: 2 }).waiting
            );
            residents.flat().forEach(task => task.phase = TaskPhase.Running);
            const rooms = ["full", "advised against", "open"].map(id => createWorker(id, { freeCpuMillis: 3000 }));
            const listTasks = (id: string) => residents[rooms.findIndex(room => room.workerId === id)];
            const planner = new DisplacementPlanner(rooms, listTasks, (_task, id) => id !== "advised against");
            expect(planner.plan({ ...demand, waiting: [waiting] })?.workerId).toBe("open");
            expect(planner.plan({ ...demand, waiting: [waiting] })).toBeUndefined();
        });

        it("stops no filling task, which has no processor to give, for work that lacks only processor", () => {
            const demand = createDemand({ cpuMillis: 4000 });
            const filling = createDemand({ cpuMillis: 1000, fillsLeftover: true }, {}, { priority: 2 });
            const reserving = createDemand({ cpuMillis: 4000 }, {}, { priority: 2 });
            const residents = [...filling.waiting, ...reserving.waiting];
            residents.forEach(task => task.phase = TaskPhase.Running);
            reserving.waiting[0].percent = 50;
            const planner = new DisplacementPlanner(
                [createWorker("a", { freeCpuMillis: 0 })],
                () => residents,
                rules.isAdvised,
            );
            expect(planner.plan(demand)?.victims).toEqual(reserving.waiting);
        });
    });
});
