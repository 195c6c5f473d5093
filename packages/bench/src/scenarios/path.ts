import {
    CallerTraffic,
    computePercentile,
    createConfig,
    createDefaultPlan,
    startConfiguredInstallation,
} from "@sardinestage/stand-ins";
import type { TrafficTotals } from "@sardinestage/stand-ins";
import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { Figure } from "../figure.js";
import { readProcessUsage } from "../readProcessUsage.js";
import type { Scenario } from "../scenario.js";

const ROUNDS = 3;
const ROUND_MS = 4_000;
const REQUESTS_PER_SECOND = 80;
const FORWARDER_PORT = 11_800;
const MIN_RATE_SHARE = 0.8;
const MAX_LATENCY_RATIO = 1.3;

/** Compares the entry with a bare forwarder that uses the same libraries, in alternating rounds. */
export const path: Scenario = {
    name: "path",
    description: "the entry against a bare forwarder (express and got, no policy): requests a core-second, latency",
    run: async (_seed, printProgress) => {
        const config = createConfig({
            services: { s: { "gent-haven": 1 } },
            serviceMs: 2,
            concurrency: 64,
            batchShare: 0,
        });
        const installation = await startConfiguredInstallation(createDefaultPlan(), config);
        const [worker] = [...installation.fleet.workers.values()].filter(each =>
            each.worker.findReplica("s") !== undefined
        );
        const main = fileURLToPath(new URL("../bareForwarder.js", import.meta.url));
        const forwarder = spawn(process.execPath, [main, String(FORWARDER_PORT), String(worker.record.servePort)], {
            stdio: "inherit",
        });
        try {
            const [{ entry, ports }] = installation.entryVms.values();
            const endpoints = {
                direct: { port: worker.record.servePort ?? 0, pid: process.pid },
                entry: { port: ports.caller, pid: entry.getPid() ?? 0 },
                forwarder: { port: FORWARDER_PORT, pid: forwarder.pid ?? 0 },
            };
            await new Promise(resolve => setTimeout(resolve, 1_500));
            const runs: Record<string, Run[]> = { direct: [], entry: [], forwarder: [] };
            for (let round = -1; round < ROUNDS; round++) {
                for (const [name, endpoint] of Object.entries(endpoints)) {
                    printProgress(round < 0 ? `warming ${name}` : `round ${round + 1} of ${ROUNDS}, ${name}`);
                    const run = await measureEndpoint(endpoint.port, endpoint.pid);
                    if (round >= 0) {
                        runs[name].push(run);
                    }
                }
            }
            return describeRuns(runs);
        }
        finally {
            forwarder.kill();
            await installation.close();
        }
    },
};

interface Run {
    readonly requestsPerCoreSecond: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
}

async function measureEndpoint(port: number, pid: number): Promise<Run> {
    const traffic = new CallerTraffic({
        service: "s",
        requestsPerSecond: REQUESTS_PER_SECOND,
        isIdempotent: true,
        deadlineMs: 3_000,
        urgency: 1,
        bodyBytes: 300,
        maxTries: 1,
        chooseEntry: () => ({ port, domain: "gent-haven" }),
    });
    const before = readProcessUsage(pid).cpuSeconds;
    traffic.start();
    await new Promise(resolve => setTimeout(resolve, ROUND_MS));
    const totals: TrafficTotals = await traffic.stop();
    const cpuSeconds = readProcessUsage(pid).cpuSeconds - before;
    return {
        requestsPerCoreSecond: totals.sent / Math.max(0.01, cpuSeconds),
        p50Ms: computePercentile(totals.latenciesMs, 50),
        p99Ms: computePercentile(totals.latenciesMs, 99),
    };
}

function describeRuns(runs: Record<string, Run[]>): Figure[] {
    const median = (name: string, read: (run: Run) => number) => computePercentile(runs[name].map(read), 50);
    const rate = median("entry", run => run.requestsPerCoreSecond);
    const bareRate = median("forwarder", run => run.requestsPerCoreSecond);
    const figures: Figure[] = [{
        name: "requests a core-second",
        unit: "1/s",
        value: rate,
        baseline: bareRate,
        target: `>= ${MIN_RATE_SHARE} of the forwarder's`,
        ok: rate >= MIN_RATE_SHARE * bareRate,
    }];
    for (const [name, read] of [["p50", (run: Run) => run.p50Ms], ["p99", (run: Run) => run.p99Ms]] as const) {
        const direct = median("direct", read);
        const added = median("entry", read) - direct;
        const bareAdded = median("forwarder", read) - direct;
        figures.push({
            name: `added ${name}`,
            unit: "ms",
            value: added,
            baseline: bareAdded,
            target: `<= ${MAX_LATENCY_RATIO} times the forwarder's`,
            ok: added <= MAX_LATENCY_RATIO * bareAdded,
        });
    }
    return figures;
}
