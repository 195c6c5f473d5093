/** Case 8: a take-over whose first try fails, and a worker that is cut off after that try has renewed its lease. */
import { findOverlaps } from "../stand/checks.mjs";
import { call, findCoordinator, wait } from "../stand/installation.mjs";
import { HOST, PREFIX, runCase, withTrouble } from "../stand/runCase.mjs";
import { Worker } from "../stand/worker.mjs";

const WORKERS = 8;
const TASKS = 6;
const JOBS = 3;
const SETTLE_MS = 8000;
/** The store is partly down for so long: the partition of one topic leaves all calls unanswered. */
const PARTLY_DOWN_MS = 4500;
const TOPIC_DOWN = "keyed.stage-jobs";
/** When workers are cut off after the coordinator was killed, and for how long. */
const CUT_AFTER_MS = 3400;
const CUT_MS = 5500;
const CUT_WORKERS = 1;
const RESTART_AFTER_MS = 3500;
const OBSERVE_MS = 14_000;

await runCase(import.meta.url, {}, async ({ record, report, machines, workers, store }) => {
    for (let index = 0; index < WORKERS; index++) {
        const worker = new Worker({
            id: `i-${index}`,
            store,
            report,
            plan: () => ({ ms: Infinity }),
            demand: () => ({ cpu: 1000, mem_mb: 512, gpu: 0 }),
        });
        workers.push(worker);
        await worker.start();
    }
    await wait(1500);
    const steps = [{ count: TASKS, cpu: 1000, mem_mb: 512, estimate_ms: 1000, long_running: true, anti_affinity: 1 }];
    for (let index = 0; index < JOBS; index++) {
        const { host, ports } = machines[index % machines.length];
        const id = `00000000000000a${index}`.slice(-16);
        const { status } = await call(host, ports[0], "POST", PREFIX + id, {
            headers: { Host: HOST, "Timeout-Ms": "3000" },
            body: { spec: "lasting", steps },
        });
        report({ event: "client", method: "POST", id, status });
        if (status !== 200) {
            throw new Error(`A job wasn't accepted: ${status}.`);
        }
    }
    await wait(SETTLE_MS);
    const running = workers.reduce((sum, worker) => sum + worker.life.running.size, 0);
    if (running !== TASKS * JOBS) {
        throw new Error(`Only ${running} tasks run.`);
    }
    if (withTrouble) {
        const coordinator = findCoordinator(machines);
        const downUntil = performance.now() + PARTLY_DOWN_MS;
        store.fault = ({ query }) => query.topic === TOPIC_DOWN && performance.now() < downUntil ? "silent" : undefined;
        report({ event: "store-partly-down", topic: TOPIC_DOWN, forMs: PARTLY_DOWN_MS });
        coordinator.signal("SIGKILL");
        setTimeout(() => coordinator.start(), RESTART_AFTER_MS);
        await wait(CUT_AFTER_MS);
        const cut = [...workers].sort((left, right) => right.life.running.size - left.life.running.size);
        for (const worker of cut.slice(0, CUT_WORKERS)) {
            const handle = worker.handle.bind(worker);
            worker.handle = (life, request, response) => {
                if (performance.now() < cutUntil) {
                    request.resume();
                    return;
                }
                handle(life, request, response);
            };
            report({ event: "worker-cut", worker: worker.id, forMs: CUT_MS });
        }
    }
    const cutUntil = performance.now() + CUT_MS;
    await wait(OBSERVE_MS);
    return findOverlaps(record.rows);
});
