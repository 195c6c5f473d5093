import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import { limits } from "./limits.js";
import { CoordinatorHarness } from "./testing/coordinatorHarness.js";
import { createQueue } from "./testing/createQueue.js";

const WORKERS = 200;
const JOBS = 40;
const TASKS = 40;
const SENDING_MS = 5;
const LOOK_MS = 10;
const LOOKS = 300;

/** A coordinator that has 1,600 starts to order, and takes 5 ms of its thread to send one. */
async function createBusyBed(): Promise<CoordinatorHarness> {
    const bed = new CoordinatorHarness(() => 0.5, () => 60_000);
    const adding = Array.from({ length: WORKERS }, (_unused, index) => bed.addWorker(`w${index}`));
    await bed.clock.runFor(20);
    await Promise.all(adding);
    bed.startTerm(false);
    await bed.clock.runFor(1000);
    bed.sendCostMs = SENDING_MS;
    const spec = {
        payload: "payload",
        steps: [createStep({ taskCount: TASKS, cpuMillis: 400 })],
        repeatCount: 0,
        firstRunMs: 0,
        intervalMs: 0,
    };
    for (let job = 0; job < JOBS; job++) {
        void bed.submit(`job${job}`, spec, createQueue());
    }
    return bed;
}

describe("Coordinator", () => {
    describe("when sending the starts of a round takes a second", () => {
        it("sends them as fast as the loop allows", async () => {
            const bed = await createBusyBed();
            await bed.clock.runFor(1000);
            const before = bed.witness.countAtWork();
            const startedAtMs = bed.clock.getNow();
            await bed.clock.runFor(2000);
            const turn = limits.startBatchMs / SENDING_MS;
            const sendable = (bed.clock.getNow() - startedAtMs) / SENDING_MS;
            expect(bed.witness.countAtWork() - before).toBeGreaterThanOrEqual(sendable - turn);
        });

        it("doesn't keep renewals waiting for all of them, and orders no more than it can send soon", async () => {
            const bed = await createBusyBed();
            let longestMs = 0;
            for (let look = 0; look < LOOKS; look++) {
                const dueAtMs = bed.clock.getNow() + LOOK_MS;
                await bed.clock.runFor(LOOK_MS);
                longestMs = Math.max(longestMs, bed.clock.getNow() - dueAtMs);
            }
            const atWork = bed.witness.countAtWork();
            const ordered = bed.events.filter(event => event.includes(" run-order ")).length;
            expect(longestMs).toBeLessThanOrEqual(limits.startBatchMs + SENDING_MS);
            // One round's starts wait to be sent, another's for their record.
            expect(ordered - atWork).toBeLessThanOrEqual(limits.maxStartsPerRound * 2);
        });
    });
});
