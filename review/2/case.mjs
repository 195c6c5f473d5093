import { BROKEN, COULD_NOT_RUN, HELD, runCase, wait, waitUntil } from "../lib/installation.mjs";

const VMS = 3;
const WORKERS = 4;
const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
const SCHEDULE_PATH = "/queue0/00000000000000a1";
const EARLIER_ID = "00000000000000b1";
const EARLIER_TASKS = 4;
/** A process that ends is started again after a short delay. */
const RESTART_AFTER_MS = 1000;
const FIRST_STEP_MS = 4000;
/** `finish_s` of the pages, and the 3 s for which a job may have nothing running. */
const FINISH_MS = 14_000;
const IDLE_MS = 3000;
const SUPERVISE_MS = 110_000;

/** A job of two steps, of which the second begins when the first is done. */
const EARLIER_JOB = {
    spec: JSON.stringify({ ms: FIRST_STEP_MS, cpu: 500 }),
    steps: [
        { count: EARLIER_TASKS, cpu: 500, mem_mb: 128, estimate_ms: FIRST_STEP_MS },
        { count: EARLIER_TASKS, cpu: 500, mem_mb: 128, estimate_ms: FIRST_STEP_MS, depends_on: [0] },
    ],
};

/** A schedule of one run each five minutes for a year, which began some time ago. */
function createSchedule(agoMs) {
    return {
        spec: JSON.stringify({ ms: 500, cpu: 500 }),
        steps: [{ count: 4, cpu: 500, mem_mb: 128, estimate_ms: 500 }],
        repeat_count: 105_120,
        interval_ms: 300_000,
        first_run_ms: Date.now() - agoMs,
    };
}

/** Hands in a small job, and a schedule that began long ago while the job's first step runs. */
async function play(installation, hasTrouble) {
    const { recorder, vms } = installation;
    await installation.start({
        vms: Array.from({ length: VMS }, (_unused, index) => ({ name: `front-${index + 1}`, zone: "gent-haven" })),
        workers: Array.from({ length: WORKERS }, (_unused, index) => ({ id: `i-${index + 1}`, zone: "gent-haven" })),
    });
    const earlier = await installation.send(vms[0], "POST", `/queue0/${EARLIER_ID}`, EARLIER_JOB);
    const hasBegun = await waitUntil(() => recorder.list("run-start").length >= EARLIER_TASKS, 10_000);
    const schedule = createSchedule(hasTrouble ? 365 * DAY_MS : HOUR_MS);
    const accepted = await installation.send(vms[0], "POST", SCHEDULE_PATH, schedule);
    if (earlier.status !== 200 || !hasBegun || accepted.status !== 200) {
        return COULD_NOT_RUN;
    }
    let isOver = false;
    const supervise = vm =>
        waitUntil(
            async () => {
                if (!vm.isAlive && !isOver) {
                    await wait(RESTART_AFTER_MS);
                    await vm.start();
                }
                return isOver;
            },
            SUPERVISE_MS,
            50,
        );
    const supervising = vms.map(supervise);
    const countEnds = step =>
        recorder.list("run-end").filter(({ task, how }) =>
            how === "done" && task.startsWith(`${EARLIER_ID}.0.${step}.`)
        )
            .length;
    const isCompleted = await waitUntil(() => countEnds(1) === EARLIER_TASKS, FIRST_STEP_MS + FINISH_MS + IDLE_MS, 100);
    isOver = true;
    await Promise.all(supervising);
    const ends = recorder.list("process-ended").length;
    recorder.note("earlier-job", { firstStepDone: countEnds(0), secondStepDone: countEnds(1), processEnds: ends });
    if (!isCompleted) {
        recorder.note("BROKEN-LOST", { job: EARLIER_ID, processEnds: ends });
        return BROKEN;
    }
    return HELD;
}

await runCase(new URL(".", import.meta.url).pathname, play);
