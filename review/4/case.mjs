import { findOverlaps } from "../lib/checks.mjs";
import { BROKEN, COULD_NOT_RUN, HELD, runCase, wait, waitUntil } from "../lib/installation.mjs";

const ZONES = ["gent-haven", "antwerpen-kaai", "luik-oven"];
const WORKERS_PER_ZONE = 2;
/** How long the zone stays cut off. */
const CUT_MS = 15_000;
const AFTER_MS = 4000;
const TASK_MS = 60_000;

const JOB = {
    spec: JSON.stringify({ ms: TASK_MS, cpu: 1000, lasts: true }),
    steps: [{ count: 12, cpu: 1000, mem_mb: 256, estimate_ms: TASK_MS, anti_affinity: 4, long_running: true }],
};

/** Cuts the zone of the coordinator, with its workers, off from the store and from the other zones. */
async function play(installation, hasTrouble) {
    const { recorder, workers, vms } = installation;
    await installation.start({
        vms: ZONES.map((zone, index) => ({ name: `front-${index + 1}`, zone })),
        workers: ZONES.flatMap((zone, index) =>
            Array.from(
                { length: WORKERS_PER_ZONE },
                (_unused, number) => ({ id: `i-${index + 1}-${number + 1}`, zone }),
            )
        ),
    });
    const coordinator = installation.coordinator;
    const accepted = await installation.send(vms[0], "POST", "/queue0/00000000000000a1", JOB);
    const areStarted = await waitUntil(() => recorder.list("run-start").length >= 12, 10_000);
    if (accepted.status !== 200 || !areStarted) {
        return COULD_NOT_RUN;
    }
    await wait(2000);
    const { zone } = coordinator.options;
    const isInside = worker => worker.options.zone === zone;
    const setCut = isCut => {
        installation.setLink(coordinator, "store", isCut);
        for (const vm of vms) {
            workers.filter(worker => isInside(worker) !== (vm === coordinator))
                .forEach(worker => installation.setLink(vm, worker.id, isCut));
        }
        workers.filter(isInside).forEach(worker => worker.setAnnounced(!isCut));
    };
    recorder.note("zone", { cutOff: hasTrouble, zone, coordinator: coordinator.name });
    if (hasTrouble) {
        setCut(true);
    }
    await wait(CUT_MS);
    if (hasTrouble) {
        setCut(false);
    }
    await wait(AFTER_MS);
    const overlaps = findOverlaps(recorder);
    overlaps.forEach(({ task, first, second }) =>
        recorder.note("BROKEN-TWICE", {
            task,
            first: `run ${first.run} on ${first.worker} since ${first.atMs}`,
            second: `run ${second.run} on ${second.worker} since ${second.atMs}`,
        })
    );
    return overlaps.length > 0 ? BROKEN : HELD;
}

await runCase(new URL(".", import.meta.url).pathname, play);
