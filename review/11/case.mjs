// Two of 40 lasting jobs can never work: all workers stay on probation for them, and no other job starts any more.
import { config, hasTrouble, wait, World } from "../stand-3/world.mjs";

const WORKERS = 8;
const CORES = 16_000;
const LASTING_JOBS = 40;
const HOPELESS_JOBS = 2;
/** A hopeless task works for so long before it fails. */
const FAILS_AFTER_MS = 300;
/** Time after the last submission from which the rule judges, and the time without a run that breaks it. */
const FINISH_MS = 14_000;
const IDLE_MS = 3000;

const world = new World(import.meta.url);
const [queue] = config.routes;
await world.startStore({
    ...config,
    routes: [queue, { ...queue, name: "batch", path_prefix: "/batch/", priority: 2 }],
});
for (let index = 0; index < WORKERS; index++) {
    await world.addWorker(`w${index}`, { rack: `r${index % 2}`, zone: "gent-haven" });
}
const nodes = [];
for (let index = 1; index <= 3; index++) {
    nodes.push(await world.startNode(`front-${index}`, index, { zone: "gent-haven", region: "vlaanderen" }));
}
for (const node of nodes) {
    await world.waitReady(node);
}
await wait(3000);

const submit = async (id, step, behaviour, prefix = "/jobs/") => {
    if (!await world.submit(id, { spec: id, steps: [step] }, () => behaviour, { prefix })) {
        world.fail(`job ${id} was not accepted`);
    }
};
const lasting = { cpu: 500, mem_mb: 200, estimate_ms: 1000, long_running: true };
for (let index = 0; index < LASTING_JOBS; index++) {
    const id = `1${index.toString(16).padStart(2, "0")}0000000000001`;
    const isHopeless = index >= LASTING_JOBS - HOPELESS_JOBS;
    const behaviour = { durationMs: FAILS_AFTER_MS, fails: hasTrouble && isHopeless };
    await submit(id, { ...lasting, count: isHopeless ? 8 : 1 }, behaviour);
    await wait(50);
}
await wait(8000);
const small = { count: 4, cpu: 1000, mem_mb: 100, estimate_ms: 1000 };
const ids = ["5000000000000001", "5000000000000002"];
await submit(ids[0], small, { durationMs: 1000, fails: false }, "/batch/");
await submit(ids[1], small, { durationMs: 1000, fails: false });
const acceptedAt = world.now;
await wait(FINISH_MS);
const judgedAt = world.now;
await wait(Number(process.env.WATCH_MS ?? IDLE_MS + 2000));

const broken = [];
for (const id of ids) {
    const { text } = await world.call(nodes[0], "GET", `/${id === ids[0] ? "batch" : "jobs"}/${id}`);
    const starts = world.events.filter(event => event.kind === "start" && event.task.startsWith(id));
    const used = [...world.workers.values()].map(worker =>
        [...worker.runs.values()].reduce((sum, run) => sum + run.step.cpu, 0)
    );
    const usedShare = used.reduce((sum, cpu) => sum + cpu, 0) / (WORKERS * CORES);
    const room = used.reduce((sum, cpu) => sum + Math.floor((CORES - cpu) / small.cpu), 0);
    console.log(
        `${id}: ${text}, starts ${starts.length}, first ${starts[0]?.at - acceptedAt}, room for ${room}, in use ${
            usedShare.toFixed(3)
        }`,
    );
    if (starts.length === 0 && room >= 2 * small.count && usedShare < 0.5) {
        broken.push(
            `LOST: ${id}, accepted at ${acceptedAt} ms, had no run from ${judgedAt} ms to ${world.now} ms`
                + ` with room for ${room} of its ${small.count} tasks and ${
                    usedShare.toFixed(3)
                } of the capacity in use`,
        );
    }
}
world.finish(broken);
