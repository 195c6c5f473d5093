#!/usr/bin/env node
import { Command } from "commander";
import { CallerTraffic } from "../callerTraffic.js";
import { createBatchTask } from "../createBatchTask.js";
import { createConfig } from "../createConfig.js";
import { createDefaultPlan } from "../createDefaultPlan.js";
import { Installation } from "../installation.js";
import { OperatorJsonClient } from "../operatorJsonClient.js";
import { standInKeys } from "../standInKeys.js";
import { waitUntil } from "../waitUntil.js";
import { printDemoReport } from "./demoReport.js";

const DOMAINS = [
    { domain: "gent-haven", region: "vlaanderen", entryVms: 2, workers: 15, workersPerRack: 5 },
    { domain: "antwerpen-kaai", region: "vlaanderen", entryVms: 2, workers: 15, workersPerRack: 5 },
    { domain: "luik-oven", region: "wallonie", entryVms: 2, workers: 15, workersPerRack: 5 },
];
const SERVICE = "attendance";
const RUN_MS = 14_000;
const KILL_AFTER_MS = 5_000;
const TASK_COUNT = 120;
const TIMEOUT_MS = 12_000;

const options = new Command("demo")
    .description(
        "Runs an installation of three failure domains, kills an entry VM meanwhile, and prints a summary of outcomes.",
    )
    .option("--stay", "keep the installation running afterwards, for use with stagectl")
    .parse()
    .opts<{ stay?: boolean }>();

const installation = new Installation(createDefaultPlan({ domains: DOMAINS }));
const startedAtMs = performance.now();

function printProgress(message: string): void {
    const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(1).padStart(5);
    process.stdout.write(`${seconds} s  ${message}\n`);
}

/** Chooses any entry VM, as a load balancer does. */
function chooseEntry(): { port: number; domain: string } {
    const vms = [...installation.entryVms.values()];
    const { ports, record } = vms[Math.floor(Math.random() * vms.length)];
    return { port: ports.caller, domain: record.domain };
}

function createTraffic(requestsPerSecond: number, isIdempotent: boolean): CallerTraffic {
    return new CallerTraffic({
        service: SERVICE,
        requestsPerSecond,
        chooseEntry,
        isIdempotent,
        deadlineMs: 3_000,
        urgency: 1,
        bodyBytes: 300,
        maxTries: 8,
    });
}

async function submitTasks(submitted: string[]): Promise<void> {
    for (let i = 0; i < TASK_COUNT; i++) {
        const { domain } = DOMAINS[i % DOMAINS.length];
        const taskId = `${domain}/plan-${i}`;
        const task = createBatchTask(taskId, 500 + i % 7 * 400);
        // A resubmission with the same id doesn't create another task, so each try may use any administration process.
        await waitUntil(`task ${taskId} is accepted`, async () => {
            const [vm] = [...installation.entryVms.values()].sort(() => Math.random() - 0.5);
            const answer = await new OperatorJsonClient(vm.ports.admin).call("SubmitTask", { task }).catch(() =>
                undefined
            );
            return answer?.ok ?? false;
        }, TIMEOUT_MS);
        submitted.push(taskId);
    }
}

async function runDemo(): Promise<boolean> {
    await installation.start();
    printProgress(`${installation.entryVms.size * 3} processes on ${installation.entryVms.size} entry VMs are up`);
    const replicas = Object.fromEntries(DOMAINS.map(({ domain }) => [domain, 4]));
    const config = createConfig({ services: { [SERVICE]: replicas }, serviceMs: 15, concurrency: 16, batchShare: 0.4 });
    const [first] = installation.entryVms.values();
    await new OperatorJsonClient(first.ports.admin).publishConfig("demo-config", config);
    await waitUntil("all replicas run", () => installation.recorder.starts >= 12, TIMEOUT_MS);
    printProgress("12 replicas run");
    for (const { ports } of installation.entryVms.values()) {
        await waitUntil("every entry has targets", async () => {
            const { capacity } = await installation.readStatus(ports.entryMetrics) as {
                capacity: Record<string, number>;
            };
            return (capacity[SERVICE] ?? 0) > 0;
        }, TIMEOUT_MS);
    }
    const traffic = [createTraffic(120, true), createTraffic(30, false)];
    traffic.forEach(each => each.start());
    const submitted: string[] = [];
    const submitting = submitTasks(submitted);
    const progress = setInterval(() => {
        const answered = traffic.reduce((sum, each) => sum + each.totals.answered, 0);
        const finished = submitted.filter(taskId => installation.recorder.completions.has(taskId)).length;
        printProgress(`requests answered ${answered}, tasks submitted ${submitted.length}, finished ${finished}`);
    }, 2_000);
    const kill = setTimeout(() => {
        printProgress("killing entry VM antwerpen-kaai-e0 and all its processes");
        installation.stopEntryVm("antwerpen-kaai-e0");
    }, KILL_AFTER_MS);
    await new Promise(resolve => setTimeout(resolve, RUN_MS));
    clearTimeout(kill);
    const totals = await Promise.all(traffic.map(each => each.stop()));
    await submitting;
    const { completions } = installation.recorder;
    await waitUntil("all tasks finish", () => submitted.every(taskId => completions.has(taskId)), TIMEOUT_MS)
        .catch((failure: Error) => printProgress(failure.message));
    clearInterval(progress);
    printProgress("done\n");
    return printDemoReport({ installation, traffic: totals, submitted });
}

async function waitForInterrupt(): Promise<void> {
    const [vm] = installation.entryVms.values();
    process.stdout.write(
        `\nThe installation is still running. In another shell:\n`
            + `  export STAGECTL_URL=http://127.0.0.1:${vm.ports.admin} STAGECTL_KEY=${standInKeys.operator}\n`
            + `  npx stagectl status\n`
            + `Caller key: ${standInKeys.caller}; entry port: ${vm.ports.caller}. Ctrl-C stops the installation.\n`,
    );
    await new Promise(resolve => process.once("SIGINT", resolve));
}

let passed = false;
try {
    passed = await runDemo();
    if (options.stay) {
        await waitForInterrupt();
    }
}
finally {
    await installation.close();
}
process.exit(passed ? 0 : 1);
