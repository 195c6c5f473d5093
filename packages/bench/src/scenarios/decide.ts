import type { CandidateWorker } from "@sardinestage/place-tasks";
import { planPlacement } from "@sardinestage/place-tasks";
import { computePercentile } from "@sardinestage/stand-ins";
import type { TaskSpec } from "@sardinestage/types";
import { Urgency, WorkKind } from "@sardinestage/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Figure } from "../figure.js";
import type { Scenario } from "../scenario.js";

const CAPACITY = { cpuMillis: 16_000, memoryMb: 60_000, accelerators: 2, slots: 8 };
const ROUNDS = 400;
const WARM_UP = 50;
const STARTS_PER_SECOND = 320;
/** Number of daemons among which the starts are divided evenly. */
const DAEMONS = 27;
const MAX_DECISION_MS = 1;
const MAX_CORE_PERCENT = 1.2;

/** Measures one placement decision with as many workers as a failure domain and as the whole fleet have. */
export const decide: Scenario = {
    name: "decide",
    description: "one placement decision with 212 and with 1,900 workers, at 320 starts/s",
    run: async (seed, printProgress) => {
        const figures: Figure[] = [];
        for (const count of [71, 212, 1_900]) {
            printProgress(`${count} workers`);
            const times = measureDecisions(count, seed);
            const p99 = computePercentile(times, 99);
            const mean = times.reduce((sum, time) => sum + time, 0) / times.length;
            const corePercent = mean / 1000 * (STARTS_PER_SECOND / DAEMONS) * 100;
            figures.push({
                name: `p99 of a decision with ${count} workers`,
                unit: "ms",
                value: p99,
                target: `<= ${MAX_DECISION_MS}`,
                ok: p99 <= MAX_DECISION_MS,
            }, {
                name: `core share of a daemon with ${count} workers`,
                unit: "%",
                value: corePercent,
                target: `<= ${MAX_CORE_PERCENT}`,
                ok: corePercent <= MAX_CORE_PERCENT,
            });
        }
        return figures;
    },
};

function measureDecisions(count: number, seed: number): number[] {
    const random = xoroshiro128plus(seed);
    const pick = (limit: number) => uniformInt(random, 0, limit - 1);
    const workers = Array.from({ length: count }, (_, i) => createWorker(i, pick));
    const domainTasks = workers.flatMap(worker => worker.residents);
    const times: number[] = [];
    for (let round = 0; round < ROUNDS + WARM_UP; round++) {
        const spec = createSpec(`new-${round}`, pick);
        const startedAtMs = performance.now();
        planPlacement({
            waiting: [{ spec, failedOn: [], mayBindAhead: false }],
            workers,
            domainTasks,
            domainCpuMillis: count * CAPACITY.cpuMillis,
            largestWorker: CAPACITY,
            teams: Array.from(
                { length: 280 },
                (_, i) => ({ team: `team-${i}`, guaranteedShare: 1 / 280, maximumShare: 1 }),
            ),
            batchShare: 0.3,
            bindAhead: 2,
            maxPlacements: 64,
            estimateSize: each => each.size,
            estimateInterference: (victim, other) => victim.taskClass === other.taskClass ? 0.2 : 0.1,
        });
        if (round >= WARM_UP) {
            times.push(performance.now() - startedAtMs);
        }
    }
    return times;
}

function createWorker(index: number, pick: (limit: number) => number): CandidateWorker {
    const residents = Array.from({ length: pick(8) }, (_, i) => createSpec(`t-${index}-${i}`, pick));
    return { worker: `w${index}`, rack: `r${index % 20}`, capacity: CAPACITY, residents, onProbation: false };
}

function createSpec(taskId: string, pick: (limit: number) => number): TaskSpec {
    const isService = pick(5) < 2;
    return {
        taskId,
        team: `team-${pick(280)}`,
        kind: isService ? WorkKind.LatencyCritical : WorkKind.Batch,
        urgency: Urgency.Normal,
        taskClass: `class-${pick(40)}`,
        size: { cpuMillis: 1_000 + pick(1_000), memoryMb: 1_000, accelerators: 0, slots: 1 },
        expectedRunMs: 60_000,
        service: isService ? `service-${pick(40)}` : undefined,
        payload: "",
    };
}
