import type { LogRecord } from "@sardinestage/call-platform";
import { encodeFrame, FrameKind } from "@sardinestage/exchange-frames";
import type { TaskRecord } from "@sardinestage/fold-tasks";
import { applyTaskRecord, TaskLedger, TaskRecordKind } from "@sardinestage/fold-tasks";
import { createConfig, createDefaultPlan, startConfiguredInstallation } from "@sardinestage/stand-ins";
import { TaskPhase, Urgency, WorkKind } from "@sardinestage/types";
import { computeLineFit } from "../computeLineFit.js";
import type { Figure } from "../figure.js";
import { readProcessUsage } from "../readProcessUsage.js";
import type { Scenario } from "../scenario.js";

const WORKER_COUNTS = [6, 18, 42];
const TASK_COUNTS = [5_000, 10_000, 20_000];
const SETTLE_MS = 3_000;
const MEASURE_MS = 6_000;
const BYTES_PER_KILOBYTE = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;
const RECORDS_PER_TASK = 3;

/** Measures the slopes of the resource costs from which docs/CAPACITY.md is calculated. */
export const slopes: Scenario = {
    name: "slopes",
    description: "what a scheduler costs by workers held, the log by records, the ledger by tasks",
    run: async (_seed, printProgress) => [
        ...await measureSchedulers(printProgress),
        ...measureLedger(),
        ...measureMessageSizes(),
    ],
};

async function measureSchedulers(printProgress: (message: string) => void): Promise<Figure[]> {
    const schedulerCpu: [number, number][] = [];
    const memory: [number, number][] = [];
    const traffic: [number, number][] = [];
    const entryCpu: [number, number][] = [];
    for (const workers of WORKER_COUNTS) {
        printProgress(`a failure domain with ${workers} workers, at rest`);
        const domains = [{ domain: "d", region: "r", entryVms: 2, workers, workersPerRack: 8 }];
        // Uses the product's default intervals; the test installation's shorter ones would cost more.
        const settings = { scheduler: { leases: { startupQuietMs: 1_000 } } };
        const config = createConfig({ services: { s: { d: workers } }, serviceMs: 1, concurrency: 8, batchShare: 0 });
        const installation = await startConfiguredInstallation(
            createDefaultPlan({ domains, settings, platformRegion: "r" }),
            config,
        );
        try {
            await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
            const vms = [...installation.entryVms.values()];
            const read = () =>
                vms.map(vm => ({
                    scheduler: readProcessUsage(vm.scheduler.getPid() ?? 0),
                    entry: readProcessUsage(vm.entry.getPid() ?? 0),
                }));
            const before = { use: read(), bytes: installation.network.countForwardedBytes(), atMs: performance.now() };
            await new Promise(resolve => setTimeout(resolve, MEASURE_MS));
            const after = { use: read(), bytes: installation.network.countForwardedBytes(), atMs: performance.now() };
            const seconds = (after.atMs - before.atMs) / 1000;
            const average = (select: (use: typeof before.use[number]) => number) =>
                vms.reduce((sum, _, i) => sum + select(after.use[i]) - select(before.use[i]), 0) / vms.length / seconds
                * 100;
            const workersPerScheduler = workers / vms.length;
            schedulerCpu.push([workersPerScheduler, average(use => use.scheduler.cpuSeconds)]);
            entryCpu.push([workers, average(use => use.entry.cpuSeconds)]);
            memory.push([
                workersPerScheduler,
                after.use.reduce((sum, use) => sum + use.scheduler.memoryMb, 0) / vms.length,
            ]);
            traffic.push([
                workersPerScheduler,
                (after.bytes - before.bytes) / vms.length / seconds / BYTES_PER_KILOBYTE,
            ]);
        }
        finally {
            await installation.close();
        }
    }
    return [
        ...describeFit("scheduler's core share by workers held", "%", schedulerCpu),
        ...describeFit("entry's core share at rest by targets", "%", entryCpu),
        ...describeFit("scheduler's memory by workers held", "MB", memory),
        ...describeFit("traffic of an entry VM by workers held", "KB/s", traffic),
    ];
}

function measureLedger(): Figure[] {
    buildLedger(createHistory(TASK_COUNTS[0]));
    // Each size is measured in its own call, so that no objects of the previous size are still reachable.
    const sizes = TASK_COUNTS.map(count => [count, measureLedgerSize(count)] as const);
    return [
        ...describeFit("ledger's memory by tasks", "MB", sizes.map(([count, { memoryMb }]) => [count, memoryMb])),
        ...describeFit("folding the log by records", "us", sizes.map(([, { records, foldUs }]) => [records, foldUs])),
    ];
}

function measureLedgerSize(count: number): { memoryMb: number; records: number; foldUs: number } {
    const records = createHistory(count);
    const before = readHeapMb();
    const startedAtMs = performance.now();
    const ledger = buildLedger(records);
    const foldUs = (performance.now() - startedAtMs) * 1000;
    const memoryMb = readHeapMb() - before;
    // The ledger and the records are used after the heap was read, so that neither is collected before.
    if ([...ledger.listTasks()].length * RECORDS_PER_TASK + 1 !== records.length) {
        throw new Error("The ledger's number of tasks differs from the number in the records; check applyTaskRecord.");
    }
    return { memoryMb, records: records.length, foldUs };
}

function buildLedger(records: readonly LogRecord[]): TaskLedger {
    const ledger = new TaskLedger();
    records.forEach(record => applyTaskRecord(ledger, record));
    return ledger;
}

function readHeapMb(): number {
    if (global.gc === undefined) {
        throw new Error("Run node with --expose-gc to measure memory.");
    }
    global.gc();
    global.gc();
    return process.memoryUsage().heapUsed / BYTES_PER_MEGABYTE;
}

function createHistory(count: number): LogRecord[] {
    const records: LogRecord[] = [];
    const add = (data: TaskRecord) => {
        const offset = records.length;
        records.push({
            offset,
            id: `r${offset}`,
            appendedAtMs: offset,
            data: JSON.parse(JSON.stringify(data)) as unknown,
        });
    };
    add({ kind: TaskRecordKind.Hold, worker: "w", token: 1, holder: "h" });
    for (let i = 0; i < count; i++) {
        const taskId = `domain/task-${i}`;
        add({ kind: TaskRecordKind.Submit, spec: createSpec(taskId) });
        add({ kind: TaskRecordKind.Bind, taskId, generation: 1, worker: "w", token: 1 });
        add({
            kind: TaskRecordKind.Finish,
            taskId,
            generation: 1,
            worker: "w",
            attempt: 1,
            phase: TaskPhase.Finished,
            reason: "",
        });
    }
    return records;
}

function createSpec(taskId: string) {
    return {
        taskId,
        team: "team-100",
        kind: WorkKind.Batch,
        urgency: Urgency.Normal,
        taskClass: "class-10",
        size: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0, slots: 1 },
        expectedRunMs: 60_000,
        payload: "x".repeat(200),
    };
}

function measureMessageSizes(): Figure[] {
    const [hold, submit, bind, finish] = createHistory(1).map(record => JSON.stringify(record).length);
    const report = {
        worker: "gent-haven-w100",
        token: 1_796_366_457_096,
        service: "attendance",
        limit: 8,
        inFlight: 3,
    };
    const pull = { kind: FrameKind.PullGrants, sequence: 1, body: { entry: "gent-haven-e0", reports: [report] } };
    const pullWithTwoReports = { ...pull, body: { ...pull.body, reports: [report, report] } };
    return [
        { name: "records of one start (submit, bind, finish)", unit: "bytes", value: submit + bind + finish, ok: true },
        { name: "record of a hold", unit: "bytes", value: hold, ok: true },
        {
            name: "a target in a pull of grants",
            unit: "bytes",
            value: encodeFrame(pullWithTwoReports).length - encodeFrame(pull).length,
            ok: true,
        },
    ];
}

function describeFit(name: string, unit: string, points: readonly (readonly [number, number])[]): Figure[] {
    const { slope, intercept, r2 } = computeLineFit(points);
    const measured = points.map(([x, y]) => ({ name: `${name}, at ${x}`, unit, value: y, ok: true }));
    return [
        ...measured,
        { name: `${name}, slope`, unit: `${unit} each`, value: slope, ok: true },
        { name: `${name}, intercept`, unit, value: intercept, ok: true },
        { name: `${name}, r2`, unit: "", value: r2, ok: true },
    ];
}
