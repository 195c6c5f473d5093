/** Case 6: a burst on a queue with advice, after which its jobs wait for ever beside free workers. */
import { listRuns } from "../stand/checks.mjs";
import { call, wait } from "../stand/installation.mjs";
import { createConfig, HOST, PREFIX, runCase, withTrouble } from "../stand/runCase.mjs";
import { Worker } from "../stand/worker.mjs";

const WORKERS = 12;
const WORKER_CPU = 4000;
/** One task takes one core for so long; a job has four. So 28 of 48 cores are in use without the burst. */
const TASK_MS = 500;
const TASKS = 4;
const JOBS_PER_SECOND = 14;
/** How long a call for advice takes, and for how long its tickets are valid. */
const ADVICE = { decideMs: 10, eachMs: 1, validMs: 3000 };
const CALM_MS = 8000;
const BURST_FACTOR = 2.3;
const BURST_MS = 6700;
const AFTER_MS = 10_000;
/** The bounds of the rule: finish_s, and the time for which a job has nothing running. */
const FINISH_MS = 14_000;
const IDLE_MS = 3000;

const route = {
    advice: { decide_ms: ADVICE.decideMs, each_ms: ADVICE.eachMs, valid_ms: ADVICE.validMs },
    target_latency_ms: 1000,
};

await runCase(import.meta.url, { config: createConfig(1, [route]), advice: ADVICE }, async parts => {
    const { record, report, machines, workers, store, advice } = parts;
    for (let index = 0; index < WORKERS; index++) {
        const worker = new Worker({
            id: `i-${index}`,
            store,
            report,
            advice,
            capacity: { cpu: WORKER_CPU, mem_mb: 16_000, gpu: 0 },
            plan: () => ({ ms: TASK_MS }),
            demand: () => ({ cpu: 1000, mem_mb: 256, gpu: 0 }),
        });
        workers.push(worker);
        await worker.start();
    }
    await wait(1500);
    const accepted = [];
    let number = 0;
    const submit = async () => {
        const { host, ports } = machines[number % machines.length];
        const id = (0x10000 + number).toString(16).padStart(16, "0");
        number++;
        const steps = [{ count: TASKS, cpu: 1000, mem_mb: 256, estimate_ms: TASK_MS }];
        const { status } = await call(host, ports[0], "POST", PREFIX + id, {
            headers: { Host: HOST, "Timeout-Ms": "3000" },
            body: { spec: "advised", steps },
        });
        report({ event: "client", method: "POST", id, status });
        if (status === 200) {
            accepted.push(id);
        }
    };
    const sendFor = async (ms, perSecond) => {
        const until = performance.now() + ms;
        while (performance.now() < until) {
            void submit();
            await wait(1000 / perSecond);
        }
    };
    await sendFor(CALM_MS, JOBS_PER_SECOND);
    report({ event: "burst", factor: withTrouble ? BURST_FACTOR : 1 });
    await sendFor(BURST_MS, JOBS_PER_SECOND * (withTrouble ? BURST_FACTOR : 1));
    await sendFor(AFTER_MS, JOBS_PER_SECOND);
    report({ event: "traffic-ends" });
    await wait(FINISH_MS);
    const fromMs = record.rows.at(-1).ms;
    report({ event: "watch-begins" });
    await wait(IDLE_MS);
    const toMs = performance.now() - record.startedAt;
    return findStarved(record.rows, accepted, fromMs, toMs);
});

/** LOST: jobs that had nothing running in all the time, with under half of the capacity in use at every moment of it. */
function findStarved(rows, accepted, fromMs, toMs) {
    const runs = listRuns(rows);
    const overlapping = runs.filter(run => run.from <= toMs && run.to >= fromMs);
    const mostInUse = Math.max(
        0,
        ...overlapping.map(run => overlapping.filter(other => other.from <= run.from && other.to > run.from).length),
    );
    const capacity = WORKERS * WORKER_CPU / 1000;
    console.log(`${accepted.length} jobs accepted; at most ${mostInUse} of ${capacity} cores in use while watched.`);
    if (mostInUse >= capacity / 2) {
        return [];
    }
    const done = new Set(rows.filter(row => row.event === "end" && row.how === "done").map(row => row.task));
    return accepted.filter(id => {
        const tasks = Array.from({ length: TASKS }, (_unused, index) => `${id}.0.0.${index}`);
        return tasks.some(task => !done.has(task)) && !overlapping.some(run => run.task.startsWith(`${id}.`));
    }).map(id => ({ job: id, waits: true }));
}
