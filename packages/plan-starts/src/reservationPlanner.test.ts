import { describe, expect, it } from "@jest/globals";
import type { ExpectedEnd } from "@sardinestage/plan-capacity";
import { explainWait } from "./explainWait.js";
import { planStarts } from "./planStarts.js";
import { ReservationOutcome } from "./reservationOutcome.js";
import { ReservationPlanner } from "./reservationPlanner.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { planFixture } from "./testing/planFixture.js";
import { WaitReason } from "./waitReason.js";
import type { WorkerCapacity } from "./workerCapacity.js";
import { WorkerTrust } from "./workerTrust.js";

const { createDemand, createWorker, rules } = planFixture;

/** A worker whose free processor is some of 16 cores, and whose other tasks end at some time. */
function createBusyWorker(workerId: string, freeCpuMillis: number, atMs: number): WorkerCapacity {
    const ends: ExpectedEnd[] = [{ cpuMillis: 16_000 - freeCpuMillis, memoryMb: 0, accelerators: 0, atMs }];
    return createWorker(workerId, { freeCpuMillis, ahead: { ends, plannedEnds: [], reservations: [] } });
}

/** Plans rounds with one reservation planner, and notes its outcomes. */
function createRounds(changes: Partial<StartRules> = {}) {
    const outcomes: string[] = [];
    const reservations = new ReservationPlanner({
        estimateDuration: step => step.spec.estimateMs,
        noteOutcome: (outcome, { workerId }) => outcomes.push(`${outcome} ${workerId}`),
    });
    const ahead = { ...rules, ...changes, reservations };
    const plan = (demands: StepDemand[], workers: WorkerCapacity[], nowMs: number) => {
        reservations.startRound(workers, nowMs);
        const { starts } = planStarts(demands, workers, ahead);
        return starts.map(({ task, workerId }) => `${task.step.spec.image} ${workerId}`);
    };
    return { outcomes, plan, ahead, reservations };
}

const createLarge = () => createDemand({ cpuMillis: 14_000, image: "large" }, { slackMs: -1 });
const createSmall = (estimateMs: number, priority = 0) =>
    createDemand({ cpuMillis: 3000, estimateMs, image: `small${estimateMs}` }, {}, { priority });

/** Rules by which one worker isn't trusted with last attempts. */
const trustRules: Partial<StartRules> = {
    estimateTrust: workerId => workerId === "suspect" ? WorkerTrust.Suspect : WorkerTrust.Proven,
    getProvenAt: () => 0,
};

/** Creates a demand of large tasks, of which some have one attempt left. */
function createLastAttempts(taskCount: number, lastAttempts: number): StepDemand {
    const demand = createDemand({ cpuMillis: 14_000, estimateMs: 9000, image: "large", taskCount }, { slackMs: -1 }, {
        maxAttempts: 2,
    });
    demand.waiting.slice(0, lastAttempts).forEach(task => task.addFailedRun(1));
    return demand;
}

describe("ReservationPlanner", () => {
    describe("when a task waits only for a trusted worker for its last attempt", () => {
        // Guards against room that stands idle for a task that wouldn't start there before the reservation lapses.
        it("drops the reservation that the task got while no worker had room", () => {
            const { plan, outcomes, reservations } = createRounds(trustRules);
            const large = createLastAttempts(1, 1);
            plan([large], [createBusyWorker("sound", 8000, 2000), createBusyWorker("suspect", 0, 90_000)], 0);
            expect(outcomes).toEqual(["made sound"]);
            const workers = [createBusyWorker("sound", 8000, 2000), createBusyWorker("suspect", 16_000, 0)];
            expect(plan([large], workers, 100)).toEqual([]);
            expect(outcomes).toEqual(["made sound", "dropped sound"]);
            expect(reservations.count).toBe(0);
            expect(workers[0].ahead?.reservations).toEqual([]);
        });

        it("keeps the reservations of the step's other tasks and makes none for the one held back", () => {
            const { plan, outcomes } = createRounds(trustRules);
            const large = createLastAttempts(3, 1);
            const createWorkers = () => [
                createBusyWorker("sound", 8000, 2000),
                createBusyWorker("other", 8000, 2500),
                createBusyWorker("suspect", 16_000, 0),
            ];
            // The suspect worker has room for one task, so that one is held back, one starts there and one needs room.
            expect(plan([large], createWorkers(), 0)).toEqual(["large suspect"]);
            expect(outcomes).toEqual(["made sound"]);
        });
    });

    describe("when a large task waits for room that comes free later", () => {
        // Guards against small tasks that take the room piece by piece, and against room that stands idle.
        it("starts only those small tasks on its worker that end before", () => {
            const { plan, outcomes } = createRounds();
            const large = createLarge();
            expect(plan([large], [createBusyWorker("w", 8000, 2000)], 0)).toEqual([]);
            const demands = [createSmall(1900), createSmall(1500), large];
            expect(plan(demands, [createBusyWorker("w", 8000, 2000)], 0)).toEqual(["small1500 w"]);
            expect(plan([createSmall(1900), large], [createBusyWorker("w", 16_000, 2000)], 2100)).toEqual(["large w"]);
            expect(outcomes).toEqual(["made w", "kept w"]);
        });

        it("lets small tasks use what the large one leaves", () => {
            const { plan } = createRounds();
            const large = createDemand({ cpuMillis: 12_000 });
            plan([large], [createBusyWorker("w", 4000, 2000)], 0);
            expect(plan([createSmall(9000), large], [createBusyWorker("w", 4000, 2000)], 0)).toEqual(["small9000 w"]);
        });

        it("holds back neither work of higher priority nor long-running tasks", () => {
            const { plan } = createRounds();
            const large = createDemand({ cpuMillis: 14_000 }, {}, { priority: 1 });
            plan([large], [createBusyWorker("w", 8000, 2000)], 0);
            const lasting = createDemand({ cpuMillis: 2000, longRunning: true, image: "lasting" }, {}, { priority: 2 });
            const demands = [createSmall(9000), lasting, createSmall(9001, 1), large];
            expect(plan(demands, [createBusyWorker("w", 8000, 2000)], 0)).toEqual(["small9000 w", "lasting w"]);
        });

        it("reserves another worker once the reservation has lapsed, so that none is kept for ever", () => {
            const { plan, outcomes } = createRounds();
            const large = createLarge();
            const listWorkers = () => [createBusyWorker("w0", 8000, 2000), createBusyWorker("w1", 8000, 9000)];
            [0, 2500, 3999, 4000].forEach(nowMs => plan([large], listWorkers(), nowMs));
            expect(outcomes).toEqual(["made w0", `${ReservationOutcome.Missed} w0`, "made w1"]);
        });

        it("reserves another worker when the first one is gone", () => {
            const { plan, outcomes } = createRounds();
            const large = createLarge();
            plan([large], [createBusyWorker("w0", 8000, 2000), createBusyWorker("w1", 8000, 3000)], 0);
            plan([large], [createBusyWorker("w1", 8000, 3000)], 100);
            expect(outcomes).toEqual(["made w0", "dropped w0", "made w1"]);
        });

        it("explains which tasks wait for their own reserved start and which for another's", () => {
            const { plan, ahead } = createRounds();
            const [large, small] = [createLarge(), createSmall(1900)];
            const workers = [createBusyWorker("w", 8000, 2000)];
            plan([large], workers, 0);
            plan([small, large], workers, 0);
            expect(explainWait(large, workers, ahead)).toBe(WaitReason.OwnReservation);
            expect(explainWait(small, workers, ahead)).toBe(WaitReason.ReservedForOthers);
        });
    });

    describe("when a gang waits", () => {
        it("reserves room for all members at one time", () => {
            const { plan, outcomes } = createRounds();
            const gang = createDemand({ cpuMillis: 12_000, taskCount: 2, gang: true, image: "gang" });
            const createFleet = () =>
                [1000, 2000, 3000, 4000].map((atMs, index) => createBusyWorker(`w${index}`, 8000, atMs));
            plan([gang], createFleet(), 0);
            expect(outcomes).toEqual(["made w0", "made w1"]);
            const small = createDemand({ cpuMillis: 4000, estimateMs: 9000, taskCount: 4, image: "small" });
            expect(plan([small, gang], createFleet(), 0).sort()).toEqual([
                "small w2",
                "small w2",
                "small w3",
                "small w3",
            ]);
        });
    });

    describe("when only a small task doesn't fit", () => {
        it("reserves nothing, since others of its size come free", () => {
            const { plan, outcomes } = createRounds();
            plan([createDemand({ cpuMillis: 3000 })], [createBusyWorker("w", 0, 1000)], 0);
            expect(outcomes).toEqual([]);
        });
    });
});
