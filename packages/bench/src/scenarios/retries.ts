import type { Installation, TrafficTotals } from "@sardinestage/stand-ins";
import { CallerTraffic, createConfig, createDefaultPlan, startConfiguredInstallation } from "@sardinestage/stand-ins";
import type { Figure } from "../figure.js";
import type { Scenario } from "../scenario.js";

const WORKERS = 6;
const RUN_MS = 10_000;
const REQUESTS_PER_SECOND = 100;
const MAX_AMPLIFICATION = 1.1;
const MIN_SUCCESS = 0.999;

/** Measures retries while a third of the targets fail, and then while all of them fail. */
export const retries: Scenario = {
    name: "retries",
    description:
        "a third of the targets fail; all targets fail; against a caller without retries (baseline: the share that must fail)",
    run: async (seed, printProgress) => {
        printProgress("a third of the targets fail");
        const third = await runWithFailures(WORKERS / 3, seed);
        printProgress("all targets fail");
        const all = await runWithFailures(WORKERS, seed);
        const figures: Figure[] = [
            {
                name: "idempotent success with a third failing",
                unit: "share",
                value: third.success,
                baseline: 2 / 3,
                target: `>= ${MIN_SUCCESS}`,
                ok: third.success >= MIN_SUCCESS,
            },
            ...[["a third", third], ["all", all]].map(([name, run]) => {
                const { amplification } = run as FailureRun;
                return {
                    name: `tries per request with ${name as string} failing`,
                    unit: "ratio",
                    value: amplification,
                    baseline: 1,
                    target: `<= ${MAX_AMPLIFICATION}`,
                    ok: amplification <= MAX_AMPLIFICATION,
                };
            }),
            {
                name: "promises broken (non-idempotent requests run twice among them)",
                unit: "count",
                value: third.violations + all.violations,
                target: "0",
                ok: third.violations + all.violations === 0,
            },
        ];
        return figures;
    },
};

interface FailureRun {
    readonly success: number;
    readonly amplification: number;
    readonly violations: number;
}

async function runWithFailures(failing: number, seed: number): Promise<FailureRun> {
    const domains = [{ domain: "gent-haven", region: "vlaanderen", entryVms: 2, workers: WORKERS, workersPerRack: 2 }];
    const config = createConfig({
        services: { s: { "gent-haven": WORKERS } },
        serviceMs: 10,
        concurrency: 16,
        batchShare: 0,
    });
    const installation = await startConfiguredInstallation(createDefaultPlan({ domains, seed }), config);
    try {
        [...installation.fleet.workers.values()].slice(0, failing).forEach(({ faults }) => faults.failShare = 1);
        const idempotent = createTraffic(installation, true);
        const once = createTraffic(installation, false);
        [idempotent, once].forEach(traffic => traffic.start());
        await new Promise(resolve => setTimeout(resolve, RUN_MS));
        const [totals, onceTotals] = await Promise.all([idempotent.stop(), once.stop()]);
        return {
            success: totals.answered / totals.sent,
            amplification: countTries(installation) / countAdmitted([totals, onceTotals]),
            violations: installation.recorder.violations.length,
        };
    }
    finally {
        await installation.close();
    }
}

function createTraffic(installation: Installation, isIdempotent: boolean): CallerTraffic {
    const vms = [...installation.entryVms.values()];
    let next = 0;
    return new CallerTraffic({
        service: "s",
        requestsPerSecond: REQUESTS_PER_SECOND / 2,
        isIdempotent,
        deadlineMs: 3_000,
        urgency: 1,
        bodyBytes: 100,
        maxTries: 1,
        chooseEntry: () => {
            const { ports, record } = vms[next++ % vms.length];
            return { port: ports.caller, domain: record.domain };
        },
    });
}

/** Counts the requests that reached a target, as recorded by the targets. */
function countTries(installation: Installation): number {
    return [...installation.recorder.requestRuns.values()].reduce((sum, runs) => sum + runs, 0);
}

function countAdmitted(all: readonly TrafficTotals[]): number {
    return all.reduce((sum, totals) => sum + totals.sent - totals.refused, 0);
}
