import { BROKEN, COULD_NOT_RUN, HELD, runCase, wait, waitUntil } from "../lib/installation.mjs";

const VMS = 3;
const WORKERS = 4;
const TASK_MS = 6000;
/** `visible_ms` of the pages. */
const VISIBLE_MS = 3000;
const FINISH_MS = 14_000;
const ID = "5c0e7a21d94b36f8";
const OTHER_ID = "5c0e7a21d94b36f9";

const JOB = {
    spec: JSON.stringify({ ms: TASK_MS, cpu: 500 }),
    steps: [{ count: 4, cpu: 500, mem_mb: 128, estimate_ms: TASK_MS }],
};

/** One client has a job on its queue; another client asks for and cancels a job of the same id on another queue. */
async function play(installation, hasTrouble) {
    const { recorder, vms } = installation;
    await installation.start({
        vms: Array.from({ length: VMS }, (_unused, index) => ({ name: `front-${index + 1}`, zone: "gent-haven" })),
        workers: Array.from({ length: WORKERS }, (_unused, index) => ({ id: `i-${index + 1}`, zone: "gent-haven" })),
        queues: [{}, { priority: 2 }],
    });
    const accepted = await installation.send(vms[0], "POST", `/queue0/${ID}`, JOB);
    const hasBegun = await waitUntil(() => recorder.list("run-start").length >= JOB.steps[0].count, 10_000);
    if (accepted.status !== 200 || !hasBegun) {
        return COULD_NOT_RUN;
    }
    await wait(VISIBLE_MS);
    const path = `/queue1/${hasTrouble ? ID : OTHER_ID}`;
    const foreign = await installation.send(vms[1], "GET", path);
    await installation.send(vms[1], "DELETE", path);
    let state;
    await waitUntil(async () => {
        state = (await installation.send(vms[2], "GET", `/queue0/${ID}`)).body?.state;
        return state === "completed" || state === "cancelled";
    }, FINISH_MS, 1000);
    if (foreign.status === 200) {
        recorder.note("BROKEN-MIXED", { path, status: foreign.status, state: foreign.body?.state });
    }
    if (state !== "completed") {
        recorder.note("BROKEN-LOST", { path: `/queue0/${ID}`, state });
    }
    return foreign.status === 200 || state !== "completed" ? BROKEN : HELD;
}

await runCase(new URL(".", import.meta.url).pathname, play);
