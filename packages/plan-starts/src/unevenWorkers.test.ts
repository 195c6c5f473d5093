import { describe, expect, it } from "@jest/globals";
import type { StepSpec } from "@sardinestage/describe-work";
import { planStarts } from "./planStarts.js";
import { planFixture } from "./testing/planFixture.js";
import type { WorkerCapacity } from "./workerCapacity.js";
import { WorkerTrust } from "./workerTrust.js";

const { createDemand, createWorker, rules } = planFixture;
const FAILED_AT_MS = 100;
/** Ratings and the start of the newest run done, by worker. */
const ends: Readonly<Record<string, readonly [WorkerTrust, number]>> = {
    suspect: [WorkerTrust.Suspect, 90],
    unknown: [WorkerTrust.Unknown, -Infinity],
    older: [WorkerTrust.Proven, FAILED_AT_MS - 1],
    newer: [WorkerTrust.Proven, FAILED_AT_MS + 1],
};
const trustRules = {
    ...rules,
    estimateTrust: (id: string) => ends[id][0],
    getProvenAt: (id: string) => ends[id][1],
};

/** Plans a task that has failed on the worker `failedOn`; returns where it starts and whether it counts as unmet. */
function planLastAttempt(workerIds: readonly string[], slack: { slackMs: number; lateSlackMs: number }, failedOn = "") {
    const demand = createDemand({}, slack, { maxAttempts: 2 });
    const [task] = demand.waiting;
    task.addFailedRun(1);
    task.orderedAtMs = FAILED_AT_MS;
    task.lastFailedWorkerId = failedOn;
    const plan = planStarts([demand], workerIds.map(id => createWorker(id)), trustRules);
    return { startsOn: plan.starts.map(start => start.workerId), unmet: plan.unmet.length };
}

// Guards against a last attempt on a worker that fails everything, and against one that waits until its job is useless.
describe("A task with one attempt left", () => {
    const early = { slackMs: 1000, lateSlackMs: 5000 };
    const late = { slackMs: -1000, lateSlackMs: 3000 };
    const useless = { slackMs: -9000, lateSlackMs: -1 };

    it("takes the worker with the newest proof", () => {
        expect(planLastAttempt(["suspect", "unknown", "older", "newer"], late).startsOn).toEqual(["newer"]);
    });

    it("waits for proof newer than its failure only while its job can meet its target", () => {
        expect(planLastAttempt(["older", "unknown"], early)).toEqual({ startsOn: [], unmet: 0 });
        expect(planLastAttempt(["older", "unknown"], late).startsOn).toEqual(["older"]);
    });

    it("takes no worker that isn't proven until waiting would make its job useless", () => {
        const full = createWorker("newer", { freeCpuMillis: 0 });
        const demand = createDemand({}, late, { maxAttempts: 2 });
        demand.waiting[0].addFailedRun(1);
        expect(planStarts([demand], [full, createWorker("unknown")], trustRules)).toEqual({
            starts: [],
            unmet: [],
            heldBack: [demand],
        });
        expect(planLastAttempt(["suspect"], useless).startsOn).toEqual(["suspect"]);
    });

    it("takes the worker where it failed only if no other has room and its job would become useless", () => {
        expect(planLastAttempt(["newer", "suspect"], useless, "newer").startsOn).toEqual(["suspect"]);
        expect(planLastAttempt(["newer"], late, "newer").startsOn).toEqual([]);
        expect(planLastAttempt(["newer"], useless, "newer").startsOn).toEqual(["newer"]);
    });

    // Guards against a last attempt that waits, and then starts on a suspect worker, while a proven one has room.
    it("takes a proven worker that is slow, while other tasks still avoid it", () => {
        const demand = createDemand({ taskCount: 2 }, late, { maxAttempts: 2 });
        demand.waiting[1].addFailedRun(1);
        const slowRules = { ...trustRules, isSlow: (id: string) => id === "newer" };
        const workers = ["newer", "suspect"].map(id => createWorker(id));
        expect(planStarts([demand], workers, slowRules).starts).toEqual([
            { task: demand.waiting[1], workerId: "newer" },
            { task: demand.waiting[0], workerId: "suspect" },
        ]);
    });

    it("counts as unmet if no worker has room, so that capacity is freed for it", () => {
        expect(planLastAttempt([], late)).toEqual({ startsOn: [], unmet: 1 });
    });
});

// Guards against tasks that take 8 times as long on a slow worker although another has room.
describe("A slow worker", () => {
    const slowRules = { ...rules, isSlow: (id: string) => id === "slow" };

    it("gets tasks only when no other worker has room", () => {
        const demand = createDemand({ taskCount: 3 });
        const workers = [createWorker("slow"), createWorker("usual", { freeCpuMillis: 2000 })];
        const { starts } = planStarts([demand], workers, slowRules);
        expect(starts.map(start => start.workerId)).toEqual(["usual", "usual", "slow"]);
    });

    describe("beside a gang", () => {
        const list = (step: Partial<StepSpec>, workers: readonly WorkerCapacity[]) => {
            const { starts, unmet } = planStarts([createDemand({ gang: true, ...step })], workers, slowRules);
            return { workerIds: starts.map(start => start.workerId), unmet: unmet.length };
        };
        const createSlow = () => createWorker("slow", { rack: "near" });
        const createUsual = (free: number) => createWorker("usual", { freeCpuMillis: free, rack: "near" });

        it("gets no member while the others have room for the gang", () => {
            expect(list({ taskCount: 3 }, [createSlow(), createUsual(3000)]).workerIds)
                .toEqual(["usual", "usual", "usual"]);
        });

        it("gets the members for which the others have no room", () => {
            expect(list({ taskCount: 3 }, [createSlow(), createUsual(2000)]).workerIds)
                .toEqual(["usual", "usual", "slow"]);
            expect(list({ taskCount: 3, maxTasksPerWorker: 1 }, [createSlow(), createUsual(2000)]).unmet).toBe(1);
        });

        it("is avoided also by a gang that prefers one rack, before the rack counts", () => {
            const far = createWorker("far", { freeCpuMillis: 1000, rack: "far" });
            const step = { taskCount: 3, sameRack: true };
            expect(list(step, [createSlow(), createUsual(2000), far]).workerIds.sort()).toEqual([
                "far",
                "usual",
                "usual",
            ]);
            expect(list(step, [createSlow(), createUsual(1000), far]).workerIds.sort()).toEqual([
                "slow",
                "slow",
                "usual",
            ]);
        });
    });
});
