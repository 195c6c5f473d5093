import { BROKEN, COULD_NOT_RUN, HELD, runCase, wait, waitUntil } from "../lib/installation.mjs";

const VMS = 3;
const WORKERS = 2;
const WORKER_CPU = 16_000;
const TASK_CPU = 1000;
/** As many tasks as fill the workers. */
const TASKS = WORKERS * WORKER_CPU / TASK_CPU;
const TASK_MS = 60_000;
const ROUNDS = 4;
/** Time from the answer to the cancellation until the coordinator gets SIGTERM, in milliseconds. */
const SIGNAL_AFTER_MS = 50;
/** How long a stop takes; the pages allow 900 ms. */
const STOP_MS = 800;
const START_TIMEOUT_MS = 12_000;
/** The process gets SIGKILL after 6 s on the platform. */
const STOP_TIMEOUT_MS = 6000;
const SETTLE_MS = 4000;

const JOB = {
    spec: JSON.stringify({ ms: TASK_MS, cpu: TASK_CPU }),
    steps: [{ count: TASKS, cpu: TASK_CPU, mem_mb: 256, estimate_ms: TASK_MS }],
};

function formatPath(number) {
    return `/queue0/${number.toString(16).padStart(16, "0")}`;
}

/** Cancels a job that fills the workers while another one waits, and stops the coordinator's machine with SIGTERM. */
async function play(installation, hasTrouble) {
    const { recorder, vms } = installation;
    await installation.start({
        guards: false,
        vms: Array.from({ length: VMS }, (_unused, index) => ({ name: `front-${index + 1}`, zone: "gent-haven" })),
        workers: Array.from({ length: WORKERS }, (_unused, index) => ({
            id: `i-${index + 1}`,
            zone: "gent-haven",
            cpu: WORKER_CPU,
            stopMs: STOP_MS,
        })),
    });
    const countRunning = number => {
        const id = number.toString(16).padStart(16, "0");
        return recorder.list("run-start").filter(({ task }) => task.startsWith(id)).length;
    };
    const isRunning = number => waitUntil(() => countRunning(number) >= TASKS, START_TIMEOUT_MS);
    await installation.send(vms[0], "POST", formatPath(1), JOB);
    if (!await isRunning(1)) {
        return COULD_NOT_RUN;
    }
    for (let round = 1; round <= ROUNDS; round++) {
        await wait(SETTLE_MS);
        const { coordinator } = installation;
        const other = vms.find(vm => vm !== coordinator);
        const accepted = await installation.send(other, "POST", formatPath(round + 1), JOB);
        if (accepted.status !== 200) {
            return COULD_NOT_RUN;
        }
        await wait(SETTLE_MS / 2);
        const cancelled = await installation.send(other, "DELETE", formatPath(round));
        if (coordinator === undefined || cancelled.status !== 200) {
            return COULD_NOT_RUN;
        }
        await wait(SIGNAL_AFTER_MS);
        if (hasTrouble) {
            coordinator.signal("SIGTERM");
        }
        const hasStarted = await isRunning(round + 1);
        recorder.note("round", { round, hasStarted });
        if (!hasStarted) {
            return COULD_NOT_RUN;
        }
        if (hasTrouble) {
            await waitUntil(() => !coordinator.isAlive, STOP_TIMEOUT_MS);
            await coordinator.start();
        }
    }
    const over = recorder.list("run-start").filter(({ usedCpu, ofCpu }) => usedCpu > ofCpu);
    over.forEach(({ atMs, task, run, worker, usedCpu, ofCpu }) =>
        recorder.note("BROKEN-LIMIT", { startedAtMs: atMs, task, run, worker, usedCpu, ofCpu })
    );
    return over.length > 0 ? BROKEN : HELD;
}

await runCase(new URL(".", import.meta.url).pathname, play);
