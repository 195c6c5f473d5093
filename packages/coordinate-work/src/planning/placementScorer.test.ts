import { describe, expect, it } from "@jest/globals";
import type { StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { WorkerCapacity } from "@sardinestage/plan-starts";
import { allocateCapacity } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { Job, openDueOccurrences } from "@sardinestage/track-jobs";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createQueue } from "../testing/createQueue.js";
import { ReferencePlacementScorer } from "../testing/referencePlacementScorer.js";
import { PlacementScorer } from "./placementScorer.js";

const SEEDS = Array.from({ length: 40 }, (_unused, index) => 20261204 + index);
const UINT32_RANGE = 0x1_0000_0000;
const NOW_MS = 1_800_000_000_000;
const IMAGES = 5;
const ROUNDS = 3;
const STEPS = 30;

function createRandom(seed: number): (bound: number) => number {
    const generator = xoroshiro128plus(seed);
    return bound => Math.floor((generator.next() >>> 0) / UINT32_RANGE * bound);
}

function createCapacity(): WorkerCapacity {
    return {
        workerId: "worker",
        service: "service",
        rack: "rack",
        labels: [],
        capacityCpuMillis: 16_000,
        freeCpuMillis: 16_000,
        runToCompletionCpuMillis: 0,
        runToCompletionWork: 0,
        freeMemoryMb: 64_000,
        freeAccelerators: 0,
        bestEffortCpuMillis: 0,
        servingTasks: [],
        bestEffortSpecs: [],
        startsLeft: 1000,
        isReserved: false,
    };
}

function createRun(spec: StepSpec): StepRun {
    const job = new Job(
        "job",
        { payload: "", steps: [spec], repeatCount: 0, firstRunMs: 0, intervalMs: 0 },
        createQueue(),
        NOW_MS,
    );
    openDueOccurrences(job, NOW_MS);
    const [run] = job.openOccurrences.get(0)?.steps ?? [];
    return run;
}

function createSpec(pickBelow: (bound: number) => number): StepSpec {
    const kind = pickBelow(5);
    return createStep({
        image: `image${pickBelow(IMAGES)}`,
        cpuMillis: 500 * (1 + pickBelow(6)),
        tailLatencyTargetMs: kind < 2 ? 100 : 0,
        isBestEffort: kind === 2 || kind === 3,
    });
}

function learnSome(estimator: HeadroomEstimator, pickBelow: (bound: number) => number): void {
    for (let measurement = 0; measurement < 20; measurement++) {
        const neighbours = [{ image: `image${pickBelow(IMAGES)}`, weight: 0.25 }];
        const [image, headroom] = [`image${pickBelow(IMAGES - 1)}`, 1 + pickBelow(4)];
        estimator.learnDifference(image, { headroom, neighbours }, { headroom: 3, neighbours: [] }, 0.2);
        estimator.learnUsualHeadroom(image, headroom);
    }
}

describe("PlacementScorer", () => {
    describe("when workers fill up in a round and the estimator learns between rounds", () => {
        it.each(SEEDS)("describes the same placements as a scorer without a cache (seed %d)", seed => {
            const pickBelow = createRandom(seed);
            const estimator = new HeadroomEstimator();
            const [scorer, reference] = [new PlacementScorer(estimator), new ReferencePlacementScorer(estimator)];
            const capacities = [createCapacity(), createCapacity(), createCapacity()];
            for (let round = 0; round < ROUNDS; round++) {
                scorer.startRound();
                for (let step = 0; step < STEPS; step++) {
                    const spec = createSpec(pickBelow);
                    for (const capacity of capacities) {
                        const [view, expected] = [
                            scorer.describePlacement(capacity, spec),
                            reference.describePlacement(capacity, spec),
                        ];
                        expect(view.latencyRatio).toBeCloseTo(expected.latencyRatio, 9);
                        expect(view.isInterfering).toBe(expected.isInterfering);
                        expect(view.similarSensitivityShare).toBe(expected.similarSensitivityShare);
                    }
                    allocateCapacity(
                        capacities[pickBelow(capacities.length)],
                        createRun(spec),
                        pickBelow(2) === 0 ? 2 : undefined,
                    );
                }
                learnSome(estimator, pickBelow);
                // The first best-effort task is replaced by another, as in a capacity that is reused in the next round.
                capacities.forEach(capacity => capacity.bestEffortSpecs.splice(0, 1, createSpec(pickBelow)));
            }
        });
    });
});
