import { describe, expect, it } from "@jest/globals";
import type { StepSpec } from "@sardinestage/describe-work";
import { createRandom } from "@sardinestage/emulate-platform";
import type { StepRun } from "@sardinestage/track-jobs";
import { computePackingScore } from "./computePackingScore.js";
import type { PlacementView } from "./placementView.js";
import { planStarts } from "./planStarts.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import { planFixture } from "./testing/planFixture.js";
import type { WorkerCapacity } from "./workerCapacity.js";

const { createDemand, createWorker, rules } = planFixture;
const packingRules: StartRules = { ...rules, maxStarts: Infinity, computeScore: computePackingScore };
const SEEDS = [1, 2, 3, 4, 5];
const WORKERS = 342;
const FILLED_SHARE = 0.9;
/** Share of the fleet's processor that long-running tasks hold; half of these may run once on a worker only. */
const LONG_RUNNING_SHARE = 0.84;
/** Mean duration of long-running jobs and of short ones. */
const [LIFE_TICKS, SHORT_TICKS] = [70, 1];
const TICKS = 210;
const SAMPLE_TICKS = 7;
const MEMORY_MB_PER_CORE = 2000;

function listPlaces(step: Parameters<typeof createDemand>[0], workers: WorkerCapacity[]) {
    return planStarts([createDemand(step)], workers, packingRules).starts.map(({ workerId }) => workerId);
}

/** Describes a placement beside serving tasks of two kinds, which differ in their sensitivity to interference. */
function describePlacement(worker: WorkerCapacity, spec: StepSpec): PlacementView {
    const { servingTasks } = worker;
    const similar = servingTasks.filter(({ step }) => isSensitive(step.spec) === isSensitive(spec)).length;
    return {
        ...rules.describePlacement(),
        similarSensitivityShare: servingTasks.length === 0 ? 1 : similar / servingTasks.length,
    };
}

function isSensitive({ image }: StepSpec): boolean {
    return Number(image.slice("image".length)) % 2 === 0;
}

/** A job's tasks in the fleet, and the tick at which they end. */
interface RunningJob {
    readonly step: StepRun;
    readonly workerIds: readonly string[];
    readonly endTick: number;
}

/** A fleet of large workers in which long-running jobs and short ones come and go; the same seed gives the same work. */
class ChurningFleet {
    private readonly random: () => number;
    private readonly workers: readonly WorkerCapacity[];
    private running: RunningJob[] = [];

    constructor(seed: number, private readonly scoreRules: StartRules) {
        this.random = createRandom(seed);
        this.workers = Array.from({ length: WORKERS }, (_unused, index) => {
            const cpuMillis = this.random() < 0.1 ? 48_000 : 32_000;
            const capacity = { capacityCpuMillis: cpuMillis, freeCpuMillis: cpuMillis, freeMemoryMb: 125_000 };
            return createWorker(`w${index}`, capacity);
        });
    }

    /** Ends and starts work for some time, and returns the mean number of 200 large tasks that find a place meanwhile. */
    measureLargeStarts(): number {
        const counts: number[] = [];
        for (let tick = 0; tick < TICKS; tick++) {
            this.finishWork(tick);
            this.startWork(tick, true, LONG_RUNNING_SHARE, () => 1 + Math.floor(this.random() * 2 * LIFE_TICKS));
            this.startWork(tick, false, FILLED_SHARE, () => 1 + Math.floor(this.random() * 2 * SHORT_TICKS));
            if (tick >= TICKS / 2 && tick % SAMPLE_TICKS === 0) {
                counts.push(this.countLargeStarts());
            }
        }
        return counts.reduce((sum, count) => sum + count, 0) / counts.length;
    }

    private finishWork(tick: number): void {
        for (const { step, workerIds } of this.running.filter(({ endTick }) => endTick === tick)) {
            for (const workerId of workerIds) {
                const worker = this.workers[Number(workerId.slice(1))];
                worker.freeCpuMillis += step.spec.cpuMillis;
                worker.freeMemoryMb += step.spec.memoryMb;
                const index = worker.servingTasks.findIndex(placement => placement.step === step);
                worker.servingTasks.splice(index, index < 0 ? 0 : 1);
            }
        }
        this.running = this.running.filter(({ endTick }) => endTick > tick);
    }

    private startWork(tick: number, longRunning: boolean, filledShare: number, chooseTicks: () => number): void {
        const capacity = this.workers.reduce((sum, worker) => sum + worker.capacityCpuMillis, 0);
        let left = this.workers.reduce((sum, worker) => sum + worker.freeCpuMillis, 0) - (1 - filledShare) * capacity;
        while (left > 0) {
            const demand = this.createDemand(longRunning, 3, 10, longRunning ? 14 : 10);
            const { starts } = planStarts([demand], this.workers, this.scoreRules);
            const workerIds = starts.map(start => start.workerId);
            this.running.push({ step: demand.step, workerIds, endTick: tick + chooseTicks() });
            left -= demand.waiting.length * demand.step.spec.cpuMillis;
        }
    }

    private countLargeStarts(): number {
        const copies = this.workers.map(worker => ({ ...worker, servingTasks: [...worker.servingTasks] }));
        const large = Array.from({ length: 200 }, () => this.createDemand(false, 8, 16, 1));
        return planStarts(large, copies, this.scoreRules).starts.length;
    }

    private createDemand(longRunning: boolean, from: number, to: number, taskCount: number): StepDemand {
        const pick = (first: number, last: number) => first + Math.floor(this.random() * (last - first + 1));
        const cores = pick(from, to);
        return createDemand({
            taskCount,
            cpuMillis: cores * 1000,
            memoryMb: cores * MEMORY_MB_PER_CORE,
            longRunning,
            tailLatencyTargetMs: longRunning ? 100 : 0,
            maxTasksPerWorker: longRunning && pick(0, 1) === 0 ? 1 : 0,
            image: `image${pick(1, 10)}`,
        });
    }
}

describe("computePackingScore", () => {
    // Guards against free capacity in small pieces on every worker, none of which fits a large task.
    it("places a task where it leaves the smallest remainder", () => {
        const workers = [10_000, 5000, 4000, 16_000].map((freeCpuMillis, index) =>
            createWorker(`w${index}`, { freeCpuMillis })
        );
        expect(listPlaces({ cpuMillis: 4000 }, workers)).toEqual(["w2"]);
        expect(listPlaces({ cpuMillis: 4500, longRunning: true, tailLatencyTargetMs: 100 }, workers)).toEqual(["w1"]);
    });

    it("places a task that needs much memory where it leaves the most processor with memory", () => {
        const workers = [
            createWorker("large", { freeCpuMillis: 16_000, freeMemoryMb: 14_000 }),
            createWorker("small", { freeCpuMillis: 2000, freeMemoryMb: 60_000 }),
        ];
        expect(listPlaces({ cpuMillis: 1000, memoryMb: 13_000 }, workers)).toEqual(["small"]);
    });

    it("places a task beside its data, whatever remains there", () => {
        const workers = [
            createWorker("far", { capacityCpuMillis: 48_000, freeCpuMillis: 2000 }),
            createWorker("near", { capacityCpuMillis: 48_000, freeCpuMillis: 48_000, labels: ["near"] }),
        ];
        expect(listPlaces({ cpuMillis: 2000, preferredRack: "near" }, workers)).toEqual(["near"]);
    });

    it("keeps a serving task off a worker where it would miss its target, whatever remains elsewhere", () => {
        const workers = [createWorker("mixed", { freeCpuMillis: 4000 }), createWorker("calm")];
        const describeMixed = ({ workerId }: WorkerCapacity) => {
            return { ...rules.describePlacement(), latencyRatio: workerId === "mixed" ? 1.1 : 0.3 };
        };
        const demand = createDemand({ cpuMillis: 4000, tailLatencyTargetMs: 100 });
        const { starts } = planStarts([demand], workers, { ...packingRules, describePlacement: describeMixed });
        expect(starts.map(({ workerId }) => workerId)).toEqual(["calm"]);
    });

    describe("on fleets that are filled to 90 percent, where work comes and goes", () => {
        it.each(SEEDS)("leaves room for more large tasks than the usual score, seed %d", seed => {
            const usual = new ChurningFleet(seed, { ...rules, maxStarts: Infinity, describePlacement })
                .measureLargeStarts();
            const packing = new ChurningFleet(seed, { ...packingRules, describePlacement }).measureLargeStarts();
            expect(packing).toBeGreaterThan(usual);
        });
    });
});
