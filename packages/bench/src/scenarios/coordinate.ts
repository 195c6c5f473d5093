import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CoordinatorLoad } from "../coordinatorLoad.js";
import type { Figure } from "../figure.js";
import { measureCode } from "../measureCode.js";
import type { Scenario } from "../scenario.js";

const TWO_TO_THE_32 = 2 ** 32;
const WARM_UP_MS = 6_000;
const MEASURED_MS = 10_000;
const MS_PER_SECOND = 1000;
const PERCENT = 100;
/** The fleet for which a target is stated, and the share of a core that decisions may take there. */
const TARGET_WORKERS = 342;
const MAX_CORE_PERCENT = 25;
/** What stands in for the platform; a real process has HTTP in its place. */
const SURROUNDINGS: readonly string[] = ["emulate-platform", "bench", "log-events"];

/** What the decisions of one coordinator cost. */
export const coordinate: Scenario = {
    name: "coordinate",
    what: "processor time of a coordinator's decisions with 45, 342 and 1,900 workers on a busy day, "
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
    const load = new CoordinatorLoad(workers, () => (generator.next() >>> 0) / TWO_TO_THE_32);
    await load.open();
    await load.clock.runFor(WARM_UP_MS);
    const startsBefore = await load.countStarts();
    const use = await measureCode(
        (functionName, url) => functionName === "run" && url.endsWith("/workRound.js"),
        () => load.clock.runFor(MEASURED_MS),
    );
    const starts = await load.countStarts() - startsBefore;
    const decisionsMs = [...use.byPackage]
        .filter(([name]) => !SURROUNDINGS.includes(name))
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
            value: use.insideMs / MEASURED_MS * PERCENT,
            ok: true,
        },
        {
            name: `garbage collection with ${workers} workers, emulated platform included`,
            unit: "% of a core",
            value: use.collectorMs / MEASURED_MS * PERCENT,
            ok: true,
        },
    ];
}
