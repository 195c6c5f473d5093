import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "./testing/coordinatorHarness.js";
import { createQueue } from "./testing/createQueue.js";

const ALWAYS = () => 0.5;

function createSpec(steps = [createStep()]): JobSpec {
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

describe("DisplacementDesk", () => {
    describe("when room is made for several interrupted tasks on one worker", () => {
        it("stops no more than these need", async () => {
            const bed = new CoordinatorHarness(ALWAYS, () => 120_000);
            ["w0", "w1", "w2"].forEach(id => void bed.addWorker(id));
            await bed.clock.runFor(20);
            bed.startTerm(false);
            const filling = createStep({ taskCount: 3 * 64, fillsLeftover: true, savesProgress: true });
            void bed.submit("filling", createSpec([filling]), createQueue({ priority: 2 }));
            await bed.clock.runFor(2000);
            expect(bed.witness.countAtWork()).toBe(3 * 64);
            void bed.addWorker("lost");
            await bed.clock.runFor(1000);
            const lasting = createStep({ taskCount: 8, longRunning: true, memoryMb: 8000 });
            void bed.submit("lasting", createSpec([lasting]), createQueue());
            await bed.clock.runFor(4000);
            expect(bed.witness.countAtWork()).toBe(3 * 64 + 8);
            bed.stopWorker("lost");
            await bed.clock.runFor(8000);
            const lastingStarts = bed.events.filter(event => event.includes("run-order") && event.includes("lasting"));
            expect(lastingStarts.length).toBeGreaterThanOrEqual(16);
            const displaced = bed.events.filter(event => event.includes("displaced"));
            // Eight tasks of 8 GB need the room of 64 of 1 GB.
            expect(displaced.length).toBe(64);
            expect(bed.witness.countAtWork()).toBe(2 * 64 + 8);
        });
    });
});
