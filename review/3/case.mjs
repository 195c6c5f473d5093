import { BROKEN, COULD_NOT_RUN, HELD, runCase, wait, waitUntil } from "../lib/installation.mjs";

const VMS = 3;
const WORKERS = 4;
/** Tasks of the large job; without the trouble it is a smaller one. */
const LARGE_TASKS = 9000;
const MODERATE_TASKS = 1500;
const LARGE_PATH = "/queue0/00000000000000a1";
const SMALL_ID = "00000000000000b1";
const START_TIMEOUT_MS = 45_000;
/** No further task starts for this long, in milliseconds. */
const SETTLE_MS = 4000;
/** `finish_s` of the pages, and the 3 s for which a job may have nothing running. */
const FINISH_MS = 14_000;
const IDLE_MS = 3000;
const AFTER_CANCEL_MS = 8000;

function createJob(count, cpu, ms) {
    return {
        spec: JSON.stringify({ ms, cpu, saves: true }),
        steps: [{ count, cpu, mem_mb: 4, estimate_ms: ms, saves_progress: true }],
    };
}

/** Runs a job of many small tasks, then hands in a small job, for which there is plenty of room. */
async function play(installation, hasTrouble) {
    const { recorder, workers, vms } = installation;
    await installation.start({
        vms: Array.from({ length: VMS }, (_unused, index) => ({ name: `front-${index + 1}`, zone: "gent-haven" })),
        workers: Array.from({ length: WORKERS }, (_unused, index) => ({ id: `i-7f3a91c${index}`, zone: "gent-haven" })),
    });
    const countRunning = () => workers.reduce((sum, worker) => sum + worker.running.size, 0);
    const tasks = hasTrouble ? LARGE_TASKS : MODERATE_TASKS;
    const large = await installation.send(vms[0], "POST", LARGE_PATH, createJob(tasks, 2, 600_000));
    if (large.status !== 200) {
        return COULD_NOT_RUN;
    }
    let lastCount = 0;
    await waitUntil(async () => {
        const count = countRunning();
        const isSettled = count >= tasks || (count > 0 && count === lastCount);
        lastCount = count;
        await wait(SETTLE_MS);
        return isSettled;
    }, START_TIMEOUT_MS);
    recorder.note("running", { tasks: countRunning() });
    const small = await installation.send(vms[1], "POST", `/queue0/${SMALL_ID}`, createJob(2, 100, 1000));
    if (small.status !== 200) {
        return COULD_NOT_RUN;
    }
    const hasStarted = () => recorder.list("run-start").some(({ task }) => task.startsWith(SMALL_ID));
    await waitUntil(hasStarted, FINISH_MS + IDLE_MS, 100);
    const state = await installation.send(vms[2], "GET", `/queue0/${SMALL_ID}`);
    const usedCpu = workers.reduce((sum, worker) => sum + worker.computeUsedCpu(), 0);
    const isLost = !hasStarted();
    recorder.note("small-job", { hasStarted: !isLost, state: state.body?.state, usedCpu, ofCpu: WORKERS * 16_000 });
    if (isLost) {
        recorder.note("BROKEN-LOST", { job: SMALL_ID, waitedMs: FINISH_MS + IDLE_MS });
        await installation.send(vms[0], "DELETE", LARGE_PATH);
        await wait(AFTER_CANCEL_MS);
        recorder.note("after-cancel", { running: countRunning(), hasStarted: hasStarted() });
    }
    return isLost ? BROKEN : HELD;
}

await runCase(new URL(".", import.meta.url).pathname, play);
