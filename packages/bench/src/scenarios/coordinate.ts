import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CoordinatorLoad } from "../coordinatorLoad.js";
import type { Figure } from "../figure.js";
import { measureProcessorTime } from "../measureProcessorTime.js";
import type { Scenario } from "../scenario.js";

const UINT32_RANGE = 2 ** 32;
const WARM_UP_MS = 6_000;
const MEASURED_MS = 10_000;
const MS_PER_SECOND = 1000;
const PERCENT = 100;
/** Number of workers for which a target is stated. */
const TARGET_WORKERS = 342;
/** Maximum share of a core that decisions may take with `TARGET_WORKERS` workers, in percent. */
const MAX_CORE_PERCENT = 25;
/**
 * Packages that don't count as decisions: they emulate the platform, run the benchmark or log. A real process calls the
 * platform over HTTP instead.
 */
const EMULATION_PACKAGES: readonly string[] = ["emulate-platform", "bench", "log-events"];

/** Measures the processor time of one coordinator's decisions. */
export const coordinate: Scenario = {
    name: "coordinate",
    description: "processor time of a coordinator's decisions with 45, 342 and 1,900 workers on a busy day, "
        + "without network and emulated platform",
    run: async (seed, printProgress) => {
        const figures: Figure[] = [];
        for (const workers of [45, TARGET_WORKERS, 1_900]) {
            printProgress(`${workers} workers`);
            figures.push(...await measureLoad(workers, seed));
        }
        return figures;
    },
};

async function measureLoad(workers: number, seed: number): Promise<Figure[]> {
    const generator = xoroshiro128plus(seed);
    const load = new CoordinatorLoad(workers, () => (generator.next() >>> 0) / UINT32_RANGE);
    await load.open();
    await load.clock.runFor(WARM_UP_MS);
    const startsBefore = await load.countStarts();
    const use = await measureProcessorTime(
        (functionName, url) => functionName === "run" && url.endsWith("/planningRound.js"),
        () => load.clock.runFor(MEASURED_MS),
    );
    const starts = await load.countStarts() - startsBefore;
    const decisionsMs = [...use.byPackage]
        .filter(([name]) => !EMULATION_PACKAGES.includes(name))
        .reduce((sum, [, tookMs]) => sum + tookMs, 0);
    const corePercent = decisionsMs / MEASURED_MS * PERCENT;
    const isTarget = workers === TARGET_WORKERS;
    return [
        {
            name: `runs started with ${workers} workers`,
            unit: "a second",
            value: starts / (MEASURED_MS / MS_PER_SECOND),
            ok: true,
        },
        {
            name: `decisions with ${workers} workers`,
            unit: "% of a core",
            value: corePercent,
            ...(isTarget ? { target: `<= ${MAX_CORE_PERCENT}` } : {}),
            ok: !isTarget || corePercent <= MAX_CORE_PERCENT,
        },
        {
            name: `of these, planning rounds with ${workers} workers`,
            unit: "% of a core",
            value: use.selectedMs / MEASURED_MS * PERCENT,
            ok: true,
        },
        {
            name: `garbage collection with ${workers} workers, emulated platform included`,
            unit: "% of a core",
            value: use.garbageCollectionMs / MEASURED_MS * PERCENT,
            ok: true,
        },
    ];
}
