import { noSchedulingFeatures } from "@sardinestage/coordinate-work";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CoordinatorLoad } from "../coordinatorLoad.js";
import { measureProcessorTime } from "../measureProcessorTime.js";
import type { Scenario } from "../scenario.js";

const UINT32_RANGE = 2 ** 32;
const WORKERS = 342;
const SLOW_EVERY = 6;
const WARM_UP_MS = 6_000;
const MEASURED_MS = 10_000;
/** Pairs with and without the preference, in turn, as other work on the machine changes what is measured. */
const PAIRS = 3;
/** How much longer rounds may take with the preference. */
const MAX_RATIO = 1.1;

/** Measures what it costs that tasks with little slack prefer fast workers. */
export const uneven: Scenario = {
    name: "uneven",
    description: `processor time of planning rounds with ${WORKERS} workers, a sixth of them 3 times slower, with and `
        + "without the preference for fast workers",
    run: async (seed, printProgress) => {
        const sums = { on: 0, off: 0 };
        for (let pair = 0; pair < PAIRS; pair++) {
            for (const name of pair % 2 === 0 ? ["off", "on"] as const : ["on", "off"] as const) {
                const perStart = await measureRounds(name === "on", seed + pair);
                printProgress(`pair ${pair + 1}, ${name}: ${perStart.toFixed(4)} ms a start`);
                sums[name] += perStart / PAIRS;
            }
        }
        const ratio = sums.on / sums.off;
        return [
            {
                name: "planning rounds, with the preference",
                unit: "ms a start",
                value: sums.on,
                baseline: sums.off,
                ok: true,
            },
            { name: "with over without", unit: "", value: ratio, target: `<= ${MAX_RATIO}`, ok: ratio <= MAX_RATIO },
        ];
    },
};

/** Measures the processor time of planning rounds for each start, in milliseconds. */
async function measureRounds(prefersFastWorkers: boolean, seed: number): Promise<number> {
    const generator = xoroshiro128plus(seed);
    const random = () => (generator.next() >>> 0) / UINT32_RANGE;
    const load = new CoordinatorLoad(WORKERS, random, { ...noSchedulingFeatures, prefersFastWorkers }, SLOW_EVERY);
    await load.open();
    await load.clock.runFor(WARM_UP_MS);
    const startsBefore = await load.countStarts();
    const use = await measureProcessorTime(
        (functionName, url) => functionName === "run" && url.endsWith("/planningRound.js"),
        () => load.clock.runFor(MEASURED_MS),
    );
    return use.selectedMs / Math.max(1, await load.countStarts() - startsBefore);
}
