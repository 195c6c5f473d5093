import { BROKEN, COULD_NOT_RUN, HELD, runCase, wait, waitUntil } from "../lib/installation.mjs";

const VMS = 3;
const WORKERS = 4;
const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
const SCHEDULE_PATH = "/queue0/00000000000000a1";
const LATER_PATH = "/queue0/00000000000000b1";
/** A process that ends is started again after a short delay. */
const RESTART_AFTER_MS = 1000;
/** Time from the schedule to the next job, in milliseconds. */
const LATER_MS = 10_000;
/** `finish_s` of the pages, and the 3 s for which a job may have nothing running. */
const FINISH_MS = 14_000;
const IDLE_MS = 3000;
const SUPERVISE_MS = 110_000;

const LATER_JOB = {
    spec: JSON.stringify({ ms: 500, cpu: 500 }),
    steps: [{ count: 4, cpu: 500, mem_mb: 128, estimate_ms: 500 }],
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

/** Hands in a schedule that began long ago, then a small job, and asks for that job's state. */
async function play(installation, hasTrouble) {
    const { recorder, vms } = installation;
    await installation.start({
        vms: Array.from({ length: VMS }, (_unused, index) => ({ name: `front-${index + 1}`, zone: "gent-haven" })),
        workers: Array.from({ length: WORKERS }, (_unused, index) => ({ id: `i-${index + 1}`, zone: "gent-haven" })),
    });
    const schedule = createSchedule(hasTrouble ? 365 * DAY_MS : HOUR_MS);
    const accepted = await installation.send(vms[0], "POST", SCHEDULE_PATH, schedule);
    if (accepted.status !== 200) {
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
    await wait(LATER_MS);
    let later = { status: 0 };
    await waitUntil(
        async () => {
            for (const vm of vms.filter(each => each.isAlive)) {
                later = later.status === 200 ? later : await installation.send(vm, "POST", LATER_PATH, LATER_JOB);
            }
            return later.status === 200;
        },
        FINISH_MS,
        500,
    );
    if (later.status !== 200) {
        return COULD_NOT_RUN;
    }
    let state;
    const isCompleted = await waitUntil(
        async () => {
            const answers = await Promise.all(vms.map(vm => installation.send(vm, "GET", LATER_PATH)));
            state = answers.map(answer => answer.body?.state).find(found => found !== undefined) ?? state;
            return state === "completed";
        },
        FINISH_MS + IDLE_MS,
        1000,
    );
    isOver = true;
    await Promise.all(supervising);
    const ends = recorder.list("process-ended").length;
    recorder.note("later-job", { state, isCompleted, processEnds: ends });
    if (!isCompleted) {
        recorder.note("BROKEN-LOST", { job: LATER_PATH, state, processEnds: ends });
        return BROKEN;
    }
    return HELD;
}

await runCase(new URL(".", import.meta.url).pathname, play);
