import { describe, expect, it } from "@jest/globals";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { TakeoverHarness } from "./testing/takeoverHarness.js";

const SEEDS = 30;
const VMS = ["v1", "v2", "v3", "v4"];
const DOMAINS = ["a", "b", "c"];
const WORKERS = ["a1", "a2", "b1", "b2", "c1", "c2"];
const SETTLING_MS = 8000;
/** From this time after the store has acknowledged the record no task may start, in milliseconds. */
const EVACUATION_MS = 5000;
/** Short enough that the bound holds without the longer time that is allowed while the store has trouble. */
const MAX_OUTAGE_MS = 2500;
const STEP_MS = 700;
const STEPS = 60;
const TASKS = 4;

const queue = {
    name: "queue",
    host: "host",
    pathPrefix: "/queue/",
    service: "service",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    targetLatencyMs: 1000,
};

/** Evacuates domains and ends that at random, while VMs end, reads fail and the store is away; lists forbidden starts. */
async function listForbiddenStarts(seed: number): Promise<{ forbidden: readonly string[]; starts: number }> {
    const random = createRandom(seed);
    const harness = new TakeoverHarness(random, () => 300 + random() * 1500, random() < 0.5);
    const { clock, runChecker, store } = harness;
    /** When the store acknowledged the record of each evacuated domain, in steady milliseconds. */
    const evacuatedAtMs = new Map<string, number>();
    const unacknowledged = new Set<string>();
    const forbidden: string[] = [];
    let starts = 0;
    const noteStart = runChecker.noteStart.bind(runChecker);
    runChecker.noteStart = (task, worker, isLate) => {
        const atMs = evacuatedAtMs.get(worker[0]) ?? Infinity;
        starts++;
        if (clock.getNow() > atMs + EVACUATION_MS) {
            forbidden.push(`${worker} ${Math.round(clock.getNow() - atMs)} ms after the record`);
        }
        noteStart(task, worker, isLate);
    };
    WORKERS.forEach(worker => harness.addWorker(worker, worker[0]));
    VMS.forEach(vm => harness.startVm(vm));
    await clock.runFor(SETTLING_MS);
    for (let step = 0; step < STEPS; step++) {
        const vm = VMS[Math.floor(random() * VMS.length)];
        const domain = DOMAINS[Math.floor(random() * 2)];
        const pick = random();
        if (pick < 0.1 && !unacknowledged.has(domain)) {
            const isEvacuated = !evacuatedAtMs.delete(domain);
            unacknowledged.add(domain);
            void harness.setEvacuated(domain, isEvacuated).then(() => {
                unacknowledged.delete(domain);
                if (isEvacuated) {
                    evacuatedAtMs.set(domain, clock.getNow());
                }
            });
        }
        else if (pick < 0.2 && harness.vms.includes(vm)) {
            harness.stopVm(random() < 0.5 ? harness.coordinator ?? vm : vm);
        }
        else if (pick < 0.4) {
            VMS.filter(each => !harness.vms.includes(each)).forEach(each => harness.startVm(each));
        }
        else if (pick < 0.5 && harness.withoutOperatorRecords.size < VMS.length - 1) {
            harness.withoutOperatorRecords.add(vm);
        }
        else if (pick < 0.55) {
            harness.withoutOperatorRecords.clear();
        }
        else if (pick < 0.58) {
            store.faults.isDown = true;
            clock.schedule(random() * MAX_OUTAGE_MS, () => store.faults.isDown = false);
        }
        const steps = [createStep({ cpuMillis: 100, memoryMb: 100, taskCount: TASKS })];
        harness.submit(`job${step}`, { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, queue);
        await clock.runFor(STEP_MS);
    }
    return { forbidden, starts };
}

describe("Evacuations of failure domains", () => {
    it("hold across takeovers, restarts, failing reads and outages of the store, and work goes on", async () => {
        const found: string[] = [];
        for (let seed = 1; seed <= SEEDS; seed++) {
            const { forbidden, starts } = await listForbiddenStarts(seed);
            found.push(...forbidden.map(start => `seed ${seed}: ${start}`));
            expect(starts).toBeGreaterThan(TASKS * STEPS / 2);
        }
        expect(found).toEqual([]);
    });
});
